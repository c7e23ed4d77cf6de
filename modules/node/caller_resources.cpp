#include "modules/node/caller_resources.h"

#include <algorithm>
#include <string_view>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr std::array<std::string_view, memory_action_count> action_names{
    "request_refused", "stalled_closed", "critical_closed", "connection_closed"};

/// An idle node takes 14 MB; its tables, routes and connections to targets and other nodes take the rest.
constexpr std::uint64_t base_bytes = 32'000'000;

constexpr std::uint64_t bytes_per_mb = 1'000'000;
constexpr std::size_t min_peer_bytes = 8'000'000;

/// Two fifths of what is left: the allocator keeps about as much again in pieces that it can't return, and
/// the kernel keeps unread and unsent bytes of the same connections.
std::size_t budget_bytes(std::uint64_t memory_mb) {
    return static_cast<std::size_t>((memory_mb * bytes_per_mb - base_bytes) * 2 / 5);
}

}  // namespace

caller_resources::caller_resources(const node_settings& settings, const time_source& clock)
    : read_ahead_bytes_(settings.replay_bytes) {
    if (settings.memory_mb > 0) {
        const std::size_t capacity = budget_bytes(settings.memory_mb);
        memory_.emplace(clock, memory_budget_options{.capacity_bytes = capacity});
        // Eight bodies fit below the low mark, so that one caller can't keep all others waiting.
        read_ahead_bytes_ = std::min(read_ahead_bytes_, capacity / 16);
        // The streams that one connection may carry at a time (256) fill the budget at most.
        stream_window_bytes_ = static_cast<std::uint32_t>(
            std::clamp<std::size_t>(capacity / 256, 32 * 1024, stream_window_bytes_));
    }
    if (settings.max_fds > 0) {
        // Each caller connection may need one to a target; the last fifth is for other nodes and the store.
        connections_.emplace(settings.max_fds * 2 / 5);
        // The targets of this instance, its operator and its monitoring need a few each.
        admin_connections_ = std::max<std::size_t>(settings.max_fds / 64, 8);
    }
    if (settings.peer_memory_mb > 0) {
        const auto capacity = static_cast<std::size_t>(settings.peer_memory_mb * bytes_per_mb);
        peer_memory_.emplace(clock, memory_budget_options{.capacity_bytes = capacity});
    } else if (settings.memory_mb > 0) {
        // A quarter of the callers' budget, but enough for the longest control call (4 MB).
        const std::size_t capacity = std::max(budget_bytes(settings.memory_mb) / 4, min_peer_bytes);
        peer_memory_.emplace(clock, memory_budget_options{.capacity_bytes = capacity});
    }
    const std::size_t peer_connections =
        settings.peer_connections > 0 ? settings.peer_connections : settings.max_fds / 5;
    peer_connections_ = (peer_connections + settings.threads - 1) / settings.threads;
    if (settings.admin_connections > 0) {
        admin_connections_ = settings.admin_connections;
    }
}

void caller_resources::report(node_metrics& metrics) {
    if (connections_) {
        metrics.set_caller_connections(connections_->count());
    }
    if (!memory_) {
        return;
    }
    metrics.set_caller_memory(memory_->held_bytes());
    std::array<std::uint64_t, memory_action_count> added{};
    for (std::size_t i = 0; i < memory_action_count; ++i) {
        const std::uint64_t count = memory_->count_of(static_cast<memory_action>(i));
        metrics.set_pressure_actions(action_names[i], count);
        added[i] = count - reported_[i];
        reported_[i] = count;
    }
    if (added != std::array<std::uint64_t, memory_action_count>{}) {
        log_event(event_level::warning, "caller_pressure",
                  {{"held_bytes", memory_->held_bytes()},
                   {action_names[0], added[0]},
                   {action_names[1], added[1]},
                   {action_names[2], added[2]},
                   {action_names[3], added[3]}});
    }
}

}  // namespace teaselpitch
