#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

struct target_client_options {
    std::string target_name = {};  ///< Copied to response_head::target.
    /// The deadline of the request may end the attempt earlier.
    std::chrono::milliseconds connect_timeout{1'000};
    /// Connections that were idle for longer are not reused.
    std::chrono::milliseconds idle_timeout{30'000};
    std::size_t max_idle_connections = 64;
    /// Connections that were idle for longer are not reused for non-idempotent requests, because the target
    /// may be closing them.
    std::chrono::milliseconds non_idempotent_idle_timeout{30'000};
    std::uint32_t max_header_bytes = 64 * 1024;  ///< Maximum size of an answer's header.
    http_dialect dialect = {};                   ///< Header fields of requests to and answers from targets.

    /// Called immediately before the first byte of each request is sent; the exchange fails with slot_moving
    /// when it returns false.
    std::function<bool()> before_first_byte = nullptr;
};

/// Sends requests to one target over HTTP/1.1, one at a time on each connection. All calls run on one
/// executor. The clock must outlive the client, and the client must outlive its exchanges.
class target_client final : public exchange_handler {
public:
    target_client(boost::asio::any_io_executor executor, endpoint target, const time_source& clock,
                  target_client_options options);
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    ~target_client() override;

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

    /// Like exchange(), but with its own before_first_byte instead of that of the options.
    awaitable<exchange_result> exchange(const request_head& head, body_reader& body, response_writer& writer,
                                        std::function<bool()> before_first_byte);

    /// Number of connections that are kept for reuse.
    [[nodiscard]] std::size_t idle_connections() const;

    /// Closes the connections that are kept for reuse.
    void close_idle();

private:
    class pool;
    std::shared_ptr<pool> pool_;
};

}  // namespace teaselpitch
