#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/membership/membership.h"

namespace teaselpitch {

struct table_catch_up_options {
    /// Time that a node with access to the store waits for the store before it calls a member. A change
    /// reaches all nodes that read the store within milliseconds of each other.
    std::chrono::milliseconds store_grace{200};
    /// Between the starts of two calls. A call that takes longer may go to an unreachable member.
    std::chrono::milliseconds call_interval{200};
    std::size_t max_calls = 3;  ///< Calls in progress at the same time.
    /// Between calls of a node without access to the store while no member is known to have a later table.
    std::chrono::milliseconds poll_interval{500};
};

/// Decides when and from which members a node fetches a table version that it has not received from the
/// store.
class table_catch_up {
public:
    table_catch_up(const time_source& clock, std::mt19937_64 random, table_catch_up_options options)
        : clock_(clock), random_(random), options_(options) {}

    /// Returns the peer endpoint to fetch the table from now, if any. Called each 50 to 200 ms. Each returned
    /// call must be ended with on_call_ended().
    std::optional<endpoint> on_tick(const membership& members, bool store_available);
    void on_call_ended() { --calls_; }

    // Queries.
    /// Latest version that a member has reported, if it is later than the own one.
    [[nodiscard]] std::optional<std::uint64_t> missing_version() const { return missing_version_; }

private:
    void update_missing_version(const membership& members);
    const member* choose(const membership& members);

    const time_source& clock_;
    std::mt19937_64 random_;
    const table_catch_up_options options_;
    std::optional<std::uint64_t> missing_version_;
    steady_time missing_since_;
    std::map<endpoint, unsigned> calls_by_peer_;  ///< Calls for the missing version.
    std::size_t calls_ = 0;
    steady_time next_call_;
    steady_time next_poll_;
};

}  // namespace teaselpitch
