#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/event_log.h"
#include "core/identity.h"
#include "drivers/settings/settings_section.h"

namespace teaselpitch {

/// Budget of retries that all nodes share: in each window, `ratio` times the requests of a service, plus
/// `slack`.
struct fleet_retry_settings {
    double ratio = 0;
    double slack = 0;
    std::chrono::seconds window{10};
};

/// The target on the same instance as the node, when it is configured instead of announced.
struct local_target_settings {
    std::string service;
    endpoint address;

    bool operator==(const local_target_settings&) const = default;
};

/// The platform's store, which provides the configuration and the addresses of the first peers.
struct store_settings {
    endpoint address;
    endpoint readiness_listen;                ///< Serves the platform's readiness probe.
    std::chrono::milliseconds heartbeat{};    ///< Interval of the targets' heartbeats.
    std::chrono::milliseconds drain_limit{};  ///< Time from SIGTERM to SIGKILL by the platform.

    bool operator==(const store_settings&) const = default;
};

/// Settings of teaselpitch-node. docs/OPERATIONS.md describes each key.
struct node_settings {
    std::string name;
    std::string availability_zone;
    std::string region;
    std::size_t threads = 2;  ///< Number of shards that serve requests, in addition to the control thread.
    /// Multiplies the interval of the control thread's ticks, for instances with little processor time.
    unsigned tick_factor = 1;

    endpoint caller_listen;
    endpoint admin_listen;
    endpoint peer_listen;                     ///< TCP for streams and UDP for membership, on the same port.
    endpoint peer_advertise;                  ///< Peer endpoint that is announced to other nodes.
    endpoint admin_advertise;                 ///< Admin endpoint that is announced to other nodes.
    std::optional<std::string> bind_address;  ///< Source address of connections to other nodes.

    endpoint log_address;
    std::string log_stream;
    std::vector<endpoint> seeds;  ///< Peer endpoints of the first nodes to contact.

    std::size_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    std::uint64_t memory_mb = 0;  ///< Memory of the machine, in millions of bytes; 0 sets no bound.
    std::size_t max_fds = 0;      ///< Limit of open descriptors of the process; 0 sets no bound.
    /// Connections of the admin listener, and as many of the readiness listener; 0 derives it from max_fds.
    std::size_t admin_connections = 0;
    std::size_t peer_connections = 0;  ///< Connections from other nodes; 0 derives it from max_fds.
    /// For heads and control calls of other nodes, in millions of bytes; 0 derives it from memory_mb.
    std::uint64_t peer_memory_mb = 0;
    std::size_t admin_body_bytes = 0;  ///< Longest body of a request to the admin listener.

    std::chrono::milliseconds default_timeout{};  ///< For requests whose route and caller set no timeout.
    std::chrono::milliseconds drain_timeout{};
    std::chrono::milliseconds warm_up{};

    std::chrono::milliseconds claim_retention{};  ///< W: how long the claim of a key is retained.
    std::chrono::milliseconds claim_lease{};      ///< L: how long a holder may act without a renewed lease.
    std::chrono::milliseconds claim_margin{};
    std::size_t max_claims = 0;
    bool claims_enabled = true;  ///< Enables at-most-once execution of requests with an idempotency key.

    /// Maximum size of a request body that the ingress buffers for retries.
    std::size_t replay_bytes = 0;
    /// Maximum size of an answer that the ingress buffers until it is complete.
    std::size_t held_answer_bytes = 0;
    /// Maximum number of gates that are tried for a free slot before a request is queued.
    std::uint32_t free_slot_hops = 0;
    /// Chooses targets by expected completion, and shares full gates fairly between client accounts.
    bool cost_aware = false;
    /// Time that a target's slot waits for its caller before it may be reclaimed for another request.
    std::chrono::milliseconds caller_patience{};
    /// A caller that sends or reads this many bytes a second uses up no patience.
    std::uint64_t caller_min_bytes_per_s = 0;
    /// Share of a target's slots that is not lent to slow callers while other requests ask for them.
    double kept_slot_share = 0;
    /// Retries of a service that this node may always send, even without successful requests.
    double retry_floor_per_s = 0;
    /// Retry budget that all nodes share; empty when each node has its own budget.
    std::optional<fleet_retry_settings> fleet_retries;
    /// Connections to targets are closed after they were idle for this long.
    std::chrono::milliseconds target_idle_timeout{};
    /// Connections that were idle for longer are not reused for non-idempotent requests.
    std::chrono::milliseconds non_idempotent_idle_timeout{};
    /// A ping is sent on a peer connection with open streams that received nothing for this long.
    std::chrono::milliseconds ping_idle{};
    /// A peer connection is replaced when it does not answer a ping within this time.
    std::chrono::milliseconds ping_deadline{};

    /// The target on this instance; empty when targets announce themselves.
    std::optional<local_target_settings> local_target;
    /// The platform's store; empty when the table is read from the log.
    std::optional<store_settings> store;

    /// Refuses account keys when this node may not know that one was withdrawn.
    bool accounts_fail_closed = false;
    /// Time without contact to the store and other nodes after which accounts_fail_closed applies.
    std::chrono::milliseconds accounts_revoke_after{};

    event_level log_level = event_level::info;
};

struct settings_result {
    node_settings settings;
    std::vector<settings_error> errors;  ///< Empty when the settings are valid.
};

/// Parses settings from YAML text and collects all errors.
settings_result parse_node_settings(std::string_view yaml);

/// Like parse_node_settings(), for a file. A file that cannot be read is reported as an error.
settings_result load_node_settings(const std::string& path);

}  // namespace teaselpitch
