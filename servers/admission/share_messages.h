#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace teaselpitch {

/// Identifies a limit: the rate of an account at a service, or the concurrent requests of a service in an
/// availability zone.
struct limit_key {
    std::string owner;  ///< Client account or availability zone.
    std::string service;

    auto operator<=>(const limit_key&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const limit_key& value) {
        return Hash::combine(std::move(state), value.owner, value.service);
    }
};

/// Sent by a node to the home node of the key: its demand and the share that it may currently use.
struct demand_report {
    limit_key key;
    double demand = 0;      ///< Requests per second or concurrent requests, including refused ones.
    double held_share = 0;  ///< Upper bound of what the node uses until it receives the next grant.
    std::uint64_t sequence = 0;
};

/// Sent by the home node in response to the report with the same sequence.
struct share_grant {
    limit_key key;
    double share = 0;
    std::chrono::milliseconds valid_for{0};  ///< From the time at which the node sent the report.
    std::uint64_t sequence = 0;
};

/// Node counts that determine the ungranted part and the grantable part of a limit.
struct fleet_size {
    std::uint32_t alive_nodes = 1;  ///< Nodes considered alive by this node, including itself.
    /// Nodes that may be alive. Includes nodes that became unreachable without leaving, because they may be
    /// separated by a network partition.
    std::uint32_t known_nodes = 1;
};

struct share_options {
    /// Fraction of a limit that is divided evenly among all known nodes and needs no grant.
    double ungranted_fraction = 0.1;
    std::chrono::milliseconds report_interval{1'000};
    std::chrono::milliseconds grant_validity{3'000};  ///< Long enough to tolerate two lost reports.
    std::size_t max_entries = 50'000;  ///< Maximum number of keys on a node, and on a home node.
    std::chrono::milliseconds idle_timeout{
        10'000};  ///< An entry without requests is removed after this time.
};

}  // namespace teaselpitch
