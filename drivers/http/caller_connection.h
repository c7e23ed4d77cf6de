#pragma once

#include <atomic>
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

/// One caller's connection: reads requests one after another, runs each and writes its answer.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(tcp::socket socket, std::shared_ptr<caller_context> context);

    /// Serves the connection until it ends.
    awaitable<void> run();

    /// Closes the connection soon when it is idle; one that runs a request closes after its answer.
    void begin_drain();

    /// Closes the socket.
    void close();

    /// Closes the socket with a reset.
    void reset();

private:
    using parser = http::request_parser<http::buffer_body>;

    enum class header_outcome : std::uint8_t { complete, closed, refused };

    [[nodiscard]] std::string_view buffered() const;
    awaitable<header_outcome> read_header(std::size_t& header_size);
    awaitable<header_outcome> header_ended(error_code error);
    awaitable<bool> serve(std::size_t header_size);
    awaitable<bool> serve_parsed(parser& parser);
    awaitable<bool> run_request(parser& parser, const request_head& head);
    awaitable<exchange_result> run_exchange(const request_head& head, caller_body& body,
                                            caller_writer& writer, bool& caller_gone);
    awaitable<void> run_handler(const request_head& head, caller_body& body, caller_writer& writer,
                                exchange_result& result);
    awaitable<void> watch_caller();
    awaitable<bool> finish(const exchange_result& result, const request_head& head, caller_body& body,
                           caller_writer& writer);
    awaitable<bool> send_error(const exchange_result& result, const request_head& head, bool close);
    awaitable<void> refuse(error_kind kind, std::string_view detail);
    awaitable<void> close_gracefully();

    tcp::socket socket_;
    std::shared_ptr<caller_context> context_;
    beast::flat_buffer buffer_;
    io_deadline read_deadline_;
    io_deadline write_deadline_;
    unsigned version_ = 11;
    bool keep_alive_ = true;
    bool idle_ = false;
};

}  // namespace teaselpitch
