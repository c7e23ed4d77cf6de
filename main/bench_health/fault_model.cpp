#include "main/bench_health/fault_model.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr double median_ms = 10.0;
constexpr double log_standard_deviation = 0.5;
constexpr double tail_fraction = 0.02;
constexpr double tail_min_factor = 5.0;
constexpr double tail_exponent = 1.5;
constexpr double tail_max_factor = 100.0;
constexpr double background_error_rate = 0.02;
constexpr std::chrono::seconds flapping_period{5};

constexpr std::array<std::string_view, 13> fault_names{
    "none",        "10 times slower",  "half failing",     "hanging",        "partially reachable",
    "work wrong",  "flapping",         "all 3x slower",    "all 10x slower", "all half failing",
    "all hanging", "crashing request", "one-way partition"};
constexpr std::array single_target_faults{fault_kind::ten_times_slower,
                                          fault_kind::half_failing,
                                          fault_kind::hanging,
                                          fault_kind::partially_reachable,
                                          fault_kind::work_failing_while_load_report_good,
                                          fault_kind::flapping};
constexpr std::array fleet_conditions{fault_kind::all_three_times_slower, fault_kind::all_ten_times_slower,
                                      fault_kind::all_half_failing,       fault_kind::all_hanging,
                                      fault_kind::crashing_request,       fault_kind::one_way_partition};

}  // namespace

std::string_view to_string(fault_kind fault) {
    return fault_names[static_cast<std::size_t>(fault)];
}

std::span<const fault_kind> single_target_fault_kinds() {
    return single_target_faults;
}

std::span<const fault_kind> fleet_condition_kinds() {
    return fleet_conditions;
}

fault_model::fault_model(const time_source& clock, fault_kind fault, steady_time starts_at,
                         std::size_t cut_zone, std::uint64_t seed)
    : clock_(clock), fault_(fault), starts_at_(starts_at), cut_zone_(cut_zone), random_(seed) {}

service_sample fault_model::sample(std::size_t target) {
    std::uniform_real_distribution<double> uniform;
    double factor = std::lognormal_distribution<double>(0.0, log_standard_deviation)(random_);
    if (uniform(random_) < tail_fraction) {
        factor *= std::min(tail_min_factor * std::pow(1.0 - uniform(random_), -1.0 / tail_exponent),
                           tail_max_factor);
    }
    service_sample result{.fails = uniform(random_) < background_error_rate};
    if (active() && fault_ == fault_kind::all_three_times_slower) {
        factor *= 3;
    } else if (active() && fault_ == fault_kind::all_ten_times_slower) {
        factor *= 10;
    }
    const bool fails_half = uniform(random_) < 0.5;
    result.time = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, std::milli>(median_ms * factor));
    if (active() && fault_ == fault_kind::all_half_failing) {
        result.fails = fails_half;
    } else if (active() && fault_ == fault_kind::all_hanging) {
        result.hangs = true;
    } else if (active() && target == faulty_target && (fault_ != fault_kind::half_failing || fails_half)) {
        apply_fault(result);
    }
    return result;
}

void fault_model::apply_fault(service_sample& result) const {
    switch (fault_) {
        case fault_kind::ten_times_slower:
            result.time *= 10;
            result.by_fault = true;
            break;
        case fault_kind::half_failing:
            result.fails = result.by_fault = true;
            break;
        case fault_kind::hanging:
            result.hangs = result.by_fault = true;
            break;
        case fault_kind::work_failing_while_load_report_good:
            result.time = 2ms;
            result.fails = result.by_fault = true;
            break;
        case fault_kind::flapping:
            if ((clock_.now() - starts_at_) / flapping_period % 2 == 0) {
                result.fails = result.by_fault = true;
            }
            break;
        default:
            break;
    }
}

bool fault_model::connects(std::size_t from_zone, std::size_t target, std::size_t target_zone) const {
    if (active() && fault_ == fault_kind::partially_reachable) {
        return target != faulty_target || from_zone != cut_zone_;
    }
    return delivers(from_zone, target_zone) && delivers(target_zone, from_zone);
}

bool fault_model::delivers(std::size_t from_zone, std::size_t to_zone) const {
    return !active() || fault_ != fault_kind::one_way_partition || from_zone != 1 || to_zone != 0;
}

}  // namespace teaselpitch
