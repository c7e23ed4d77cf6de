#include "modules/node/node_registration.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds min_retry_delay{200};
constexpr std::chrono::milliseconds max_retry_delay{2'000};
constexpr std::chrono::milliseconds max_rewrite_delay{5'000};
/// Nodes that start at the same time write their records within this time; a second read finds the records
/// that the first one missed.
constexpr std::chrono::milliseconds second_read_delay{1'500};

}  // namespace

std::string encode_registration(const registered_node& node) {
    return std::to_string(node.identity.incarnation) + " " + to_string(node.peer);
}

absl::StatusOr<registered_node> decode_registration(std::string_view name, std::string_view value) {
    registered_node node;
    node.identity.name = name;
    const std::size_t space = value.find(' ');
    const char* end = value.data() + std::min(space, value.size());
    const auto [parsed, error] = std::from_chars(value.data(), end, node.identity.incarnation);
    if (name.empty() || space == std::string_view::npos || error != std::errc{} || parsed != end) {
        return absl::InvalidArgumentError("the registration record of node \"" + std::string(name) +
                                          "\" is malformed");
    }
    absl::StatusOr<endpoint> peer = parse_remote_endpoint(value.substr(space + 1));
    if (!peer.ok()) {
        return peer.status();
    }
    node.peer = *std::move(peer);
    return node;
}

node_registration::node_registration(keyed_store& store, registered_node self,
                                     std::function<void(std::vector<registered_node>)> on_found)
    : store_(store),
      self_(std::move(self)),
      on_found_(std::move(on_found)),
      random_(static_cast<std::minstd_rand::result_type>(
          stable_hash(self_.identity.name) % std::minstd_rand::max() + 1)) {}

awaitable<void> node_registration::join() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    bool written = false;
    int reads = 0;
    std::chrono::milliseconds retry_delay = min_retry_delay;
    while (!written || reads < 2) {
        if (!written) {
            written = (co_await write()).ok();
        }
        const bool read_now = (co_await read()).ok();
        reads += read_now ? 1 : 0;
        const bool both_succeeded = written && read_now;
        timer.expires_after(both_succeeded ? second_read_delay : retry_delay);
        retry_delay = std::min(retry_delay * 2, max_retry_delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

awaitable<void> node_registration::rewrite() {
    const std::uint64_t rewrite = ++rewrites_;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    std::uniform_int_distribution<std::int64_t> spread(0, max_rewrite_delay.count());
    timer.expires_after(std::chrono::milliseconds(spread(random_)));
    co_await timer.async_wait(boost::asio::use_awaitable);
    std::chrono::milliseconds retry_delay = min_retry_delay;
    while (rewrite == rewrites_ && !(co_await write()).ok()) {
        timer.expires_after(retry_delay);
        retry_delay = std::min(retry_delay * 2, max_retry_delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

awaitable<void> node_registration::leave() {
    ++rewrites_;
    const absl::Status status = co_await store_.put(std::string(topic), self_.identity.name, "");
    log_event(status.ok() ? event_level::info : event_level::warning, "registration_dropped",
              {{"node", self_.identity.name}, {"reason", std::string(status.message())}});
}

awaitable<absl::Status> node_registration::write() {
    absl::Status status =
        co_await store_.put(std::string(topic), self_.identity.name, encode_registration(self_));
    log_event(status.ok() ? event_level::info : event_level::warning, "registration_written",
              {{"node", self_.identity.name},
               {"incarnation", self_.identity.incarnation},
               {"stored", status.ok()},
               {"reason", std::string(status.message())}});
    co_return status;
}

awaitable<absl::Status> node_registration::read() {
    const auto newest = co_await store_.read_newest(std::string(topic));
    if (!newest.ok()) {
        co_return newest.status();
    }
    std::vector<registered_node> others;
    for (const keyed_record& record : newest->records) {
        if (record.key == self_.identity.name || record.value.empty()) {
            continue;
        }
        absl::StatusOr<registered_node> node = decode_registration(record.key, record.value);
        if (node.ok()) {
            others.push_back(*std::move(node));
        } else {
            log_event(event_level::warning, "registration_unreadable",
                      {{"offset", record.offset}, {"reason", std::string(node.status().message())}});
        }
    }
    log_event(event_level::info, "registrations_read", {{"nodes", others.size()}, {"end", newest->end}});
    on_found_(std::move(others));
    co_return absl::OkStatus();
}

}  // namespace teaselpitch
