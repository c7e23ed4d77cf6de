#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "drivers/http/asio_types.h"
#include "drivers/http/caller_body.h"
#include "drivers/http/caller_context.h"
#include "drivers/http/caller_writer.h"
#include "drivers/http/io_deadline.h"
#include "servers/admission/memory_account.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// One caller's connection. GET and HEAD requests without a body overlap: the next request is read while
/// earlier ones run, and the answers are sent in the order of the requests. All other requests run one at a
/// time.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(tcp::socket socket, const tcp::endpoint& peer, std::shared_ptr<caller_context> context);

    /// Serves requests until the connection ends.
    awaitable<void> run();

    /// Closes the connection after a grace period when it is idle, and after the last answer otherwise.
    void begin_drain();

    /// Answers requests that have no answer yet with an error, because the process is about to be killed.
    /// Answers that are ready are sent.
    void terminate_exchanges();

    /// Ends the reading of a request that has not been sent to a target, because its memory is needed.
    void end_for_memory();

    void close();

    /// Closes the socket with a TCP reset.
    void reset();

    // Queries.
    [[nodiscard]] memory_budget::holder_id account_id() const { return account_.id(); }
    [[nodiscard]] bool is_idle() const { return waiting_for_request_ && overlapped_.empty(); }
    [[nodiscard]] steady_time idle_since() const { return idle_since_; }

private:
    using parser = http::request_parser<http::buffer_body>;

    enum class header_outcome : std::uint8_t { complete, closed, refused };

    /// Properties of one request that affect the connection.
    struct connection_preferences {
        unsigned version = 11;   ///< HTTP version of the caller, 10 or 11.
        bool keep_alive = true;  ///< The caller may send another request on the connection.
    };

    /// A request that runs while the connection reads the next one.
    struct overlapped_request {
        request_head head;
        connection_preferences preferences;
        std::uint64_t position = 0;  ///< Position of the answer in the order of the requests.
        /// The answer is being sent, or is ready and waits for earlier answers.
        bool answer_started = false;
        net::cancellation_signal cancel;
        memory_charge charge;  ///< Of the head.
    };

    [[nodiscard]] std::string_view buffered() const;
    awaitable<header_outcome> read_header(std::size_t& header_size);
    awaitable<header_outcome> handle_header_read_error(error_code error);
    awaitable<bool> serve_request(std::size_t header_size);
    awaitable<bool> serve_parsed_request(parser& parser);

    void start_overlapped(request_head head, connection_preferences preferences);
    awaitable<void> run_overlapped(std::shared_ptr<overlapped_request> request);
    awaitable<void> complete_overlapped_answer(const overlapped_request& request, caller_writer& writer,
                                               const exchange_result& result);
    void remove_overlapped(const std::shared_ptr<overlapped_request>& request);
    void cancel_overlapped();
    void stop_reading();
    [[nodiscard]] bool has_free_slot() const;
    awaitable<void> wait_until_slot_is_free();
    awaitable<bool> wait_for_slot();
    awaitable<void> wait_for_earlier_answers(std::uint64_t position);
    awaitable<void> wait_for_overlapped_answers();
    awaitable<void> finish_overlapped();

    awaitable<bool> run_request(parser& parser, const request_head& head);
    awaitable<bool> reserve_body(const request_head& head, memory_charge& charge);
    awaitable<bool> refuse_for_memory(const request_head& head, std::string_view detail);
    [[nodiscard]] exchange_result replace_if_ended_for_memory(exchange_result result) const;
    awaitable<exchange_result> run_exchange(const request_head& head, caller_body& body,
                                            caller_writer& writer, bool& caller_closed);
    awaitable<void> run_handler(const request_head& head, body_reader& body, response_writer& writer,
                                exchange_result& result);
    awaitable<void> wait_for_caller_close();
    awaitable<void> wait_for_termination(const caller_writer& writer);
    [[nodiscard]] exchange_result replace_if_terminated(exchange_result result) const;
    [[nodiscard]] bool should_close_after_answer() const;
    awaitable<bool> finish_request(const exchange_result& result, const request_head& head, caller_body& body,
                                   caller_writer& writer);
    [[nodiscard]] caller_writer_settings writer_settings(const request_head& head,
                                                         const connection_preferences& preferences);
    awaitable<bool> send_error(const exchange_result& result, const request_head& head,
                               const connection_preferences& preferences, bool close);
    awaitable<void> reject_request(error_kind kind, std::string_view detail);
    awaitable<void> close_gracefully();

    tcp::socket socket_;
    const std::uint32_t caller_;  ///< Hash of the caller's address.
    std::shared_ptr<caller_context> context_;
    beast::flat_buffer buffer_;
    memory_account account_;
    memory_charge connection_charge_;  ///< The connection itself and what is read of the next head.
    io_deadline read_deadline_;
    io_deadline write_deadline_;
    connection_preferences preferences_;  ///< Properties of the latest request.
    bool waiting_for_request_ = false;    ///< No byte of the next request has been received.
    steady_time idle_since_;              ///< Valid while waiting_for_request_ is set.
    bool ended_for_memory_ = false;
    /// An incomplete answer is being sent. A further request could lose its answer if that one broke off.
    bool streaming_answer_ = false;
    bool terminating_ = false;  ///< Requests without an answer are being terminated.
    /// The last answer was sent or the caller has disconnected; nothing more is written.
    bool closing_ = false;
    std::set<std::shared_ptr<overlapped_request>> overlapped_;
    net::steady_timer overlapped_changed_;     ///< Cancelled when an answer has been sent; never expires.
    net::steady_timer termination_requested_;  ///< Cancelled by terminate_exchanges(); never expires.
    std::uint64_t next_position_ = 0;
    std::uint64_t answered_before_ = 0;  ///< All answers before this position have been sent.
};

}  // namespace teaselpitch
