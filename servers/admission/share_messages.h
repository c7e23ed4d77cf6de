#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace teaselpitch {

/// What is limited: the rate of an account at a service, or the concurrent requests of a service in a zone.
struct limit_key {
    std::string owner;  ///< Account, or availability zone.
    std::string service;

    auto operator<=>(const limit_key&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const limit_key& value) {
        return Hash::combine(std::move(state), value.owner, value.service);
    }
};

/// From a node to the home of the key: what the node needs and what it may use at present.
struct demand_report {
    limit_key key;
    double demand = 0;   ///< Requests per second, or concurrent requests, refused ones included.
    double holding = 0;  ///< The share that the node uses at most until it gets another one.
    std::uint64_t sequence = 0;
};

/// From the home to the node, in answer to the report with the same sequence.
struct share_grant {
    limit_key key;
    double share = 0;
    std::chrono::milliseconds valid_for{0};  ///< From the time at which the node sent the report.
    std::uint64_t sequence = 0;
};

/// The number of nodes for the parts of a limit that need no grant.
struct fleet_size {
    std::uint32_t alive = 1;  ///< Nodes that this node takes for alive, itself included.
    /// Nodes that may be alive: also those that vanished without leaving, because they may be cut off.
    std::uint32_t known = 1;
};

struct share_options {
    /// Part of a limit that is spread evenly over all known nodes, for nodes that have no grant.
    double ungranted_part = 0.1;
    std::chrono::milliseconds report_interval{1'000};
    std::chrono::milliseconds grant_valid_for{3'000};  ///< Survives the loss of two reports.
    std::size_t max_entries = 50'000;                  ///< Keys on one node, and keys of one home.
    std::chrono::milliseconds idle_after{10'000};      ///< An entry without requests is then forgotten.
};

}  // namespace teaselpitch
