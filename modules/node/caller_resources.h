#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "drivers/settings/node_settings.h"
#include "modules/node/node_metrics.h"
#include "servers/admission/connection_share.h"
#include "servers/admission/memory_budget.h"

namespace teaselpitch {

/// The memory and the descriptors that a process spends on those who call it, derived from the settings, and
/// the limits that follow from them. Thread-safe.
class caller_resources {
public:
    caller_resources(const node_settings& settings, const time_source& clock);

    /// Publishes the metrics, and logs one line when something was refused or closed since the last call.
    /// Must be called once a second from one thread.
    void report(node_metrics& metrics);

    // Null without a bound.
    [[nodiscard]] memory_budget* memory() { return memory_ ? &*memory_ : nullptr; }
    [[nodiscard]] connection_share* connections() { return connections_ ? &*connections_ : nullptr; }

    /// Bytes of a body that the ingress reads before it sends the request.
    [[nodiscard]] std::size_t read_ahead_bytes() const { return read_ahead_bytes_; }
    /// Receive window of one stream between nodes.
    [[nodiscard]] std::uint32_t stream_window_bytes() const { return stream_window_bytes_; }
    /// Bounds the heads and control calls that the peer listeners hold; null without a bound.
    [[nodiscard]] memory_budget* peer_memory() { return peer_memory_ ? &*peer_memory_ : nullptr; }
    /// Maximum number of connections of the peer listener of each shard; 0 sets no bound.
    [[nodiscard]] std::size_t peer_connections() const { return peer_connections_; }
    /// Maximum number of connections of the admin listener, and of the readiness listener.
    [[nodiscard]] std::size_t admin_connections() const { return admin_connections_; }
    /// Size of the kernel's buffers of a caller connection, each way; 0 leaves it to the system.
    [[nodiscard]] int socket_buffer_bytes() const { return memory_ ? 32 * 1024 : 0; }

private:
    std::optional<memory_budget> memory_;
    std::optional<connection_share> connections_;
    std::array<std::uint64_t, memory_action_count> reported_{};
    std::size_t read_ahead_bytes_;
    std::uint32_t stream_window_bytes_ = 262'144;
    std::size_t admin_connections_ = 1024;
    std::optional<memory_budget> peer_memory_;
    std::size_t peer_connections_ = 0;
};

}  // namespace teaselpitch
