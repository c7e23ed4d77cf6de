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

/// Faults of the stand-in log, changed at run time by POST /_faults.
struct standin_log_faults {
    enum class outage_kind : std::uint8_t {
        none,
        refuse,  ///< Each connection of a stream request is closed without an answer.
        hang,    ///< Stream requests are accepted and never answered.
    };
    outage_kind outage = outage_kind::none;
    std::chrono::milliseconds latency{0};  ///< Added before each answer.
    std::uint64_t lose_ack_next = 0;       ///< Appends that take effect without an answer.
    std::uint64_t append_rate_limit = 0;   ///< Appends per second; more are answered with 429. 0 is no limit.
};

/// An append-only log service in memory, the counterpart of log_client for tests.
///
/// All members are used on the executor, which must be single-threaded.
class standin_log_server : public std::enable_shared_from_this<standin_log_server> {
public:
    standin_log_server(boost::asio::any_io_executor executor, log_retention retention);
    virtual ~standin_log_server() = default;

    /// Binds and listens; port 0 takes a free port. Throws boost::system::system_error when the address
    /// cannot be bound.
    endpoint listen(const endpoint& address);

    /// Closes the listener and every connection.
    void stop();

    standin_log_faults& faults() { return faults_; }

    /// The stream with this name; created when it does not exist.
    log_stream& stream(const std::string& name);

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using response = boost::beast::http::response<boost::beast::http::string_body>;
    using answer = std::optional<response>;  // Empty closes the connection without an answer.

    awaitable<void> accept_loop();
    awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    awaitable<answer> handle(const request& message);
    awaitable<answer> handle_stream(const request& message);
    awaitable<answer> append(const std::string& name, const request& message);
    awaitable<answer> read(const std::string& name, const request& message);
    answer handle_faults(const request& message);
    answer status(const request& message);
    bool over_append_rate();
    void wake_readers();
    awaitable<void> wait(std::chrono::milliseconds duration, bool until_append);

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    system_time_source clock_;
    log_retention retention_;
    std::map<std::string, log_stream> streams_;
    standin_log_faults faults_;
    std::set<boost::asio::steady_timer*> waiting_readers_;
    std::set<boost::asio::steady_timer*> waiting_;
    std::set<boost::asio::ip::tcp::socket*> connections_;
    steady_time rate_window_{};
    std::uint64_t window_appends_ = 0;
    bool stopped_ = false;
};

}  // namespace teaselpitch
