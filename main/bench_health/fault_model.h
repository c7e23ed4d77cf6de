#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string_view>

#include "core/clock.h"

namespace teaselpitch {

enum class fault_kind : std::uint8_t {
    none,
    ten_times_slower,
    half_failing,
    hanging,
    partially_reachable,      ///< The nodes of one zone get no connection to the target's node.
    probes_right_work_wrong,  ///< Every request fails at once while the load report stays good.
    flapping,                 ///< Fails all work for 5 s, works for 5 s, and so on.
    all_slower_3,             ///< All targets, at the same moment.
    all_slower_10,
    all_half_failing,
    all_hanging,
    crashing_request,   ///< One request crashes each target that runs it and is sent again.
    one_way_partition,  ///< Nothing from zone 1 arrives in zone 0; connections between them fail.
};

std::string_view to_string(fault_kind fault);
/// Faults of one target, whose detection is timed.
std::span<const fault_kind> single_faults();
/// Conditions under which no target may be ejected, beyond the nodes that a partition cuts off.
std::span<const fault_kind> general_faults();

/// What one request meets at a target.
struct service_sample {
    std::chrono::nanoseconds time{0};
    bool fails = false;
    bool hangs = false;
    bool by_fault = false;  ///< The answer is bad because of the fault and not by the scattered errors.
};

/// The service times and errors of all targets: log-normal around 10 ms, 2% of the requests in a Pareto
/// tail of 5 to 100 times that, 2% scattered errors, and the fault from its start on.
class fault_model {
public:
    /// `cut_zone` is the zone that cannot reach a partially reachable target.
    fault_model(const time_source& clock, fault_kind fault, steady_time starts_at, std::size_t cut_zone,
                std::uint64_t seed);

    service_sample sample(std::size_t target);
    /// Says whether a connection from a zone to a target works.
    [[nodiscard]] bool connects(std::size_t from_zone, std::size_t target, std::size_t target_zone) const;
    /// Says whether a datagram from one zone arrives in another.
    [[nodiscard]] bool delivers(std::size_t from_zone, std::size_t to_zone) const;
    [[nodiscard]] bool active() const { return clock_.now() >= starts_at_; }
    [[nodiscard]] fault_kind kind() const { return fault_; }
    [[nodiscard]] steady_time starts_at() const { return starts_at_; }

    static constexpr std::size_t faulty_target = 0;

private:
    void apply_fault(service_sample& result) const;

    const time_source& clock_;
    const fault_kind fault_;
    const steady_time starts_at_;
    const std::size_t cut_zone_;
    std::mt19937_64 random_;
};

}  // namespace teaselpitch
