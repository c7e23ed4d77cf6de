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
    std::string target_name = {};                      ///< Reported as response_head::target.
    std::chrono::milliseconds connect_timeout{1'000};  ///< The deadline of the request may be shorter.
    std::chrono::milliseconds idle_timeout{30'000};    ///< Older idle connections are not reused.
    std::size_t max_idle = 64;                         ///< Idle connections that are kept.
    /// Older idle connections are not reused for requests that may run only once: the target may be closing
    /// them.
    std::chrono::milliseconds non_idempotent_idle{30'000};
    std::uint32_t max_header_bytes = 64 * 1024;  ///< Header of an answer.
    http_dialect dialect = {};                   ///< Header fields towards targets.

    /// Called immediately before the first byte of each request; false ends the exchange as slot_moving.
    std::function<bool()> before_first_byte = nullptr;
};

/// Sends requests to one target over HTTP/1.1, one at a time on each connection. All calls run on one
/// executor; the clock must outlive the client, and the client its exchanges.
class target_client final : public exchange_handler {
public:
    target_client(boost::asio::any_io_executor executor, endpoint target, const time_source& clock,
                  target_client_options options);
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    ~target_client() override;

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

    /// Like exchange(), with a check of this exchange in place of the option.
    awaitable<exchange_result> exchange(const request_head& head, body_reader& body, response_writer& writer,
                                        std::function<bool()> before_first_byte);

    /// Connections that are kept for reuse.
    [[nodiscard]] std::size_t idle_connections() const;

    /// Closes the connections that are kept for reuse.
    void close_idle();

private:
    class pool;
    std::shared_ptr<pool> pool_;
};

}  // namespace teaselpitch
