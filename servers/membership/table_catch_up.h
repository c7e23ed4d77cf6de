#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/membership/membership.h"

namespace teaselpitch {

struct table_catch_up_options {
    std::chrono::milliseconds call_interval{1'000};  ///< Between the starts of two calls.
    std::size_t max_calls = 1;                       ///< Calls in progress at the same time.
};

/// Decides when and from which member a node fetches a table version that it has not received from the store.
class table_catch_up {
public:
    table_catch_up(const time_source& clock, table_catch_up_options options)
        : clock_(clock), options_(options) {}

    /// Returns the peer endpoint to fetch the table from now, if any. Each returned call must be ended with
    /// on_call_ended().
    std::optional<endpoint> on_tick(const membership& members);
    void on_call_ended() { --calls_; }

private:
    const time_source& clock_;
    const table_catch_up_options options_;
    std::size_t calls_ = 0;
    std::uint64_t call_count_ = 0;  ///< Calls started so far.
    steady_time next_call_;
};

}  // namespace teaselpitch
