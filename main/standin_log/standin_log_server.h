#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/identity.h"
#include "main/standin_log/log_stream.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// The faults that the stand-in log injects, set at run time by POST /_faults.
struct standin_log_faults {
    enum class outage_kind : std::uint8_t {
        none,
        refuse,  ///< The connection of each stream request is closed without an answer.
        hang,    ///< Stream requests are accepted and never answered.
    };
    outage_kind outage = outage_kind::none;
    std::chrono::milliseconds latency{0};  ///< Delay before each answer to a stream request.
    std::uint64_t lose_ack_next = 0;       ///< Number of upcoming appends that are stored but not answered.
    /// Appends per second; further appends are answered with status 429. 0 means no limit.
    std::uint64_t append_rate_limit = 0;
};

/// An in-memory append-only log service for tests. It implements the server side of the protocol of
/// log_client.
///
/// All members are used on the executor, which must be single-threaded.
class standin_log_server : public std::enable_shared_from_this<standin_log_server> {
public:
    standin_log_server(boost::asio::any_io_executor executor, log_retention retention);
    virtual ~standin_log_server() = default;

    /// Starts to listen and returns the bound address; port 0 selects a free port. Throws
    /// boost::system::system_error when the address cannot be bound.
    endpoint listen(const endpoint& address);

    /// Closes the listener and all connections and cancels all waiting requests.
    void stop();

    standin_log_faults& faults() { return faults_; }

    /// Returns the stream with this name and creates it when it does not exist.
    log_stream& stream(const std::string& name);

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using response = boost::beast::http::response<boost::beast::http::string_body>;
    using answer = std::optional<response>;  // Without a value, the connection is closed without an answer.

    awaitable<void> accept_loop();
    awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    awaitable<answer> handle(const request& message);
    awaitable<answer> handle_stream(const request& message);
    awaitable<answer> append(const std::string& name, const request& message);
    awaitable<answer> read(const std::string& name, const request& message);
    answer set_faults(const request& message);
    answer status(const request& message);
    /// Counts an append and returns whether it exceeds the rate limit.
    bool exceeds_append_rate();
    void wake_readers();
    awaitable<void> wait(std::chrono::milliseconds duration, bool until_append);

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    system_time_source clock_;
    log_retention retention_;
    std::map<std::string, log_stream> streams_;
    standin_log_faults faults_;
    std::set<boost::asio::steady_timer*> reader_wait_timers_;
    std::set<boost::asio::steady_timer*> wait_timers_;
    std::set<boost::asio::ip::tcp::socket*> connections_;
    steady_time rate_window_start_{};
    std::uint64_t appends_in_window_ = 0;
    bool stopped_ = false;
};

}  // namespace teaselpitch
