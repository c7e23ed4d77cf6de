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

/// In each window the nodes may repeat `ratio` of a service's requests and `slack` more.
struct fleet_retry_settings {
    double ratio = 0;
    double slack = 0;
    std::chrono::seconds window{10};
};

/// The one target beside a node whose instance is known to have one.
struct neighbour_settings {
    std::string service;
    endpoint address;

    bool operator==(const neighbour_settings&) const = default;
};

/// The platform's store as the source of the configuration and of the first contacts.
struct store_settings {
    endpoint address;
    endpoint readiness_listen;                ///< Where the platform asks whether this node takes callers.
    std::chrono::milliseconds heartbeat{};    ///< Interval at which targets announce themselves.
    std::chrono::milliseconds drain_limit{};  ///< Time from SIGTERM until the platform kills the process.

    bool operator==(const store_settings&) const = default;
};

/// The settings of teaselpitch-node. docs/OPERATIONS.md describes each key.
struct node_settings {
    std::string name;
    std::string availability_zone;
    std::string region;
    std::size_t threads = 2;  ///< Shards that serve requests, besides the control thread.
    unsigned tick_factor =
        1;  ///< Stretches the control thread's ticks, for instances with little processor time.

    endpoint caller_listen;
    endpoint admin_listen;
    endpoint peer_listen;  ///< TCP for streams and UDP for membership on one port.
    endpoint peer_advertise;
    endpoint admin_advertise;
    std::optional<std::string> bind_address;  ///< Source address of connections to other nodes.

    endpoint log_address;
    std::string log_stream;
    std::vector<endpoint> seeds;  ///< Peer endpoints of nodes that are asked first.

    std::size_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;

    std::chrono::milliseconds default_timeout{};  ///< For routes and callers that name none.
    std::chrono::milliseconds drain_timeout{};
    std::chrono::milliseconds warm_up{};

    std::chrono::milliseconds claim_retention{};  ///< W: how long a key is remembered.
    std::chrono::milliseconds claim_lease{};      ///< L: how long a holder goes on without news.
    std::chrono::milliseconds claim_margin{};
    std::size_t max_claims = 0;
    bool claims_enabled = true;  ///< At-most-once execution of requests with an idempotency key.

    std::size_t replay_bytes = 0;       ///< Body bytes that the ingress keeps for further attempts.
    std::size_t held_answer_bytes = 0;  ///< Longest answer that the ingress holds until it is whole.
    std::uint32_t free_slot_hops = 0;   ///< Gates that are asked for a free slot before a request queues.
    double retry_floor_per_s = 0;       ///< Retries of a service that this node may send without any success.
    /// What all nodes together may repeat; empty when each node has a budget of its own.
    std::optional<fleet_retry_settings> fleet_retries;
    std::chrono::milliseconds target_idle{};  ///< Idle connections to targets are closed after this time.
    std::chrono::milliseconds
        non_idempotent_idle{};  ///< The same for reuse by requests that may run only once.
    std::chrono::milliseconds
        ping_idle{};  ///< Silence of a peer connection with open streams before a ping goes out.
    std::chrono::milliseconds
        ping_deadline{};  ///< A peer connection without an answer for longer is replaced.

    std::optional<neighbour_settings>
        beside;  ///< The target on this instance; empty when targets announce themselves.
    std::optional<store_settings> store;  ///< The platform's store; empty when the table is on the log.

    event_level log_level = event_level::info;
};

struct settings_result {
    node_settings settings;
    std::vector<settings_fault> faults;  ///< Empty when the settings are valid.
};

/// Reads settings from YAML text.
settings_result parse_node_settings(std::string_view yaml);

/// Reads settings from a file. A file that cannot be read is a fault too.
settings_result load_node_settings(const std::string& path);

}  // namespace teaselpitch
