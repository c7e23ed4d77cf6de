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
    partially_reachable,                  ///< The nodes of one zone cannot connect to the target's node.
    work_failing_while_load_report_good,  ///< Requests fail after 2 ms; the load report stays good.
    flapping,                ///< Alternates between 5 s in which all work fails and 5 s without a fault.
    all_three_times_slower,  ///< All targets, at the same time.
    all_ten_times_slower,
    all_half_failing,
    all_hanging,
    crashing_request,   ///< One request is sent repeatedly and crashes each target that runs it.
    one_way_partition,  ///< Datagrams from zone 1 to zone 0 are lost; connections between these zones fail.
};

std::string_view to_string(fault_kind fault);
/// Returns the faults of a single target, for which the detection time is measured.
std::span<const fault_kind> single_target_fault_kinds();
/// Returns the conditions under which a node may eject only targets that a partition makes unreachable.
std::span<const fault_kind> fleet_condition_kinds();

/// Service time and outcome of one request at a target.
struct service_sample {
    std::chrono::nanoseconds time{0};
    bool fails = false;
    bool hangs = false;
    bool by_fault = false;  ///< The request is affected by the fault, not by a background error.
};

/// Generates the service times and errors of all targets. Service times are log-normal with a median of
/// 10 ms; 2% of them are multiplied by a Pareto-distributed factor of 5 to 100. 2% of the requests fail at
/// random. The fault applies from its start time on.
class fault_model {
public:
    /// `cut_zone` is the zone whose nodes cannot reach a partially reachable target.
    fault_model(const time_source& clock, fault_kind fault, steady_time starts_at, std::size_t cut_zone,
                std::uint64_t seed);

    service_sample sample(std::size_t target);
    /// Returns whether a connection from a zone to a target succeeds.
    [[nodiscard]] bool connects(std::size_t from_zone, std::size_t target, std::size_t target_zone) const;
    /// Returns whether a datagram from one zone arrives in another.
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
