#pragma once

#include <atomic>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/caller_body.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/caller_writer.h"
#include "drivers/http/io_deadline.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

class caller_connection;

/// What all connections of one caller_server share.
struct caller_context {
    caller_context(caller_server_options options_in, exchange_handler& handler_in,
                   const time_source& clock_in, std::function<std::string()> new_request_id_in);

    caller_server_options options;
    exchange_handler& handler;
    const time_source& clock;
    std::function<std::string()> new_request_id;
    std::set<std::shared_ptr<caller_connection>> connections;
    std::atomic<std::size_t> open_exchanges = 0;
    bool draining = false;
};

/// One caller's connection. Requests without a body that may be repeated overlap: the next one is read while
/// earlier ones run, and their answers go out in the order of the requests. All others run one by one.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(tcp::socket socket, std::shared_ptr<caller_context> context);

    /// Serves the connection until it ends.
    awaitable<void> run();

    /// Closes the connection soon when it is idle; one that runs a request closes after its answer.
    void begin_drain();

    /// Ends the requests that have no answer yet with one of the server's own, because the process is about
    /// to be killed. Answers that are ready go out.
    void end_exchanges();

    /// Closes the socket.
    void close();

    /// Closes the socket with a reset.
    void reset();

private:
    using parser = http::request_parser<http::buffer_body>;

    enum class header_outcome : std::uint8_t { complete, closed, refused };

    /// What one request asks of the connection.
    struct request_terms {
        unsigned version = 11;   ///< HTTP version of the caller, 10 or 11.
        bool keep_alive = true;  ///< The caller allows another request on the connection.
    };

    /// A request that runs while the connection reads on.
    struct overlapped_request {
        request_head head;
        request_terms terms;
        std::uint64_t turn = 0;  ///< Position of its answer.
        bool answering = false;  ///< The answer is ready and waits for its turn or is on its way.
        net::cancellation_signal cancel;
    };

    [[nodiscard]] std::string_view buffered() const;
    awaitable<header_outcome> read_header(std::size_t& header_size);
    awaitable<header_outcome> header_ended(error_code error);
    awaitable<bool> serve(std::size_t header_size);
    awaitable<bool> serve_parsed(parser& parser);

    void start_overlapped(request_head head, request_terms terms);
    awaitable<void> run_overlapped(std::shared_ptr<overlapped_request> request);
    awaitable<void> answer_overlapped(const overlapped_request& request, caller_writer& writer,
                                      const exchange_result& result);
    void overlapped_ended(const std::shared_ptr<overlapped_request>& request);
    void cancel_overlapped();
    void stop_reading();
    awaitable<void> wait_turn(std::uint64_t turn);
    awaitable<void> wait_answered();
    awaitable<void> finish_overlapped();

    awaitable<bool> run_request(parser& parser, const request_head& head);
    awaitable<exchange_result> run_exchange(const request_head& head, caller_body& body,
                                            caller_writer& writer, bool& caller_gone);
    awaitable<void> run_handler(const request_head& head, body_reader& body, caller_writer& writer,
                                exchange_result& result);
    awaitable<void> watch_caller();
    awaitable<void> wait_end(const caller_writer& writer);
    [[nodiscard]] exchange_result ended_or(exchange_result result) const;
    [[nodiscard]] bool closes_after_answer() const;
    awaitable<bool> finish(const exchange_result& result, const request_head& head, caller_body& body,
                           caller_writer& writer);
    [[nodiscard]] caller_writer_settings writer_settings(const request_head& head,
                                                         const request_terms& terms) const;
    awaitable<bool> send_error(const exchange_result& result, const request_head& head,
                               const request_terms& terms, bool close);
    awaitable<void> refuse(error_kind kind, std::string_view detail);
    awaitable<void> close_gracefully();

    tcp::socket socket_;
    std::shared_ptr<caller_context> context_;
    beast::flat_buffer buffer_;
    io_deadline read_deadline_;
    io_deadline write_deadline_;
    request_terms terms_;  ///< Of the request that was read last.
    bool idle_ = false;
    bool ending_ = false;   ///< Requests without an answer are ended now.
    bool closing_ = false;  ///< The last answer is out or the caller is gone; nothing more is written.
    std::set<std::shared_ptr<overlapped_request>> overlapped_;
    net::steady_timer overlapped_changed_;  ///< Cancelled when an answer is out; it never expires by itself.
    net::steady_timer end_requested_;       ///< Cancelled by end_exchanges(); it never expires by itself.
    std::uint64_t next_turn_ = 0;
    std::uint64_t answered_ = 0;  ///< Turns whose answers are out.
};

}  // namespace teaselpitch
