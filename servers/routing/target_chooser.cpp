#include "servers/routing/target_chooser.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <utility>

#include "absl/container/inlined_vector.h"

namespace teaselpitch {
namespace {

constexpr double full_share = 1.0;
constexpr double min_warm_up_share =
    0.02;  // A target that has just become ready needs some traffic to warm up.
constexpr double equal_score_tolerance =
    0.1;  // Targets within this distance of the lowest score are treated as equal.
constexpr std::size_t inline_target_count =
    48;  // 35 targets per service on average at the size expected in two years.
constexpr std::size_t inline_zone_count = 4;

constexpr double min_speed = 0.05;
constexpr double max_speed = 20;
constexpr double max_expected_wait_ms = 600'000;
constexpr double unknown_transfer_ms = -1;
constexpr double max_transfer_ms = 200;
// Assumed until the first answer from a zone.
constexpr double local_transfer_ms = 1;
constexpr double remote_transfer_ms = 3;
// Peer connections are closed when they are idle for about this long.
constexpr std::chrono::seconds connection_lifetime{30};

// SplitMix64 finalizer. Applied to a shared counter, it gives a random sequence to many threads without a
// lock.
std::uint64_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::int64_t to_ns(steady_time time) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

bool contains(std::span<const std::string> names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

chosen_target::chosen_target(target_identity target, std::string node, std::string zone,
                             std::shared_ptr<target_load> load)
    : target_(std::move(target)), node_(std::move(node)), zone_(std::move(zone)), load_(std::move(load)) {
    load_->outstanding.fetch_add(1, std::memory_order_relaxed);
}

chosen_target& chosen_target::operator=(chosen_target&& other) noexcept {
    if (this != &other) {
        release();
        target_ = std::move(other.target_);
        node_ = std::move(other.node_);
        zone_ = std::move(other.zone_);
        load_ = std::move(other.load_);
    }
    return *this;
}

chosen_target::~chosen_target() {
    release();
}

void chosen_target::release() {
    if (load_ != nullptr) {
        load_->outstanding.fetch_sub(1, std::memory_order_relaxed);
        load_.reset();
    }
}

// Weights and loads of one target selection.
struct target_chooser::selection {
    const view& current;
    steady_time now;
    absl::InlinedVector<double, inline_target_count> weights{};
    absl::InlinedVector<double, inline_target_count> loads{};
    absl::InlinedVector<bool, inline_target_count> reduced_share{};
    absl::InlinedVector<double, inline_zone_count> zone_load{};
    absl::InlinedVector<double, inline_zone_count> zone_capacity{};
    double full_share_weight = 0;
    double reduced_share_weight = 0;
    bool only_suspects_left = false;
    std::optional<double> expected_ms{};
};

target_chooser::target_chooser(const time_source& clock, chooser_options options, std::uint64_t seed)
    : clock_(clock), options_(std::move(options)), seed_(seed), view_(std::make_shared<const view>()) {}

void target_chooser::update(std::span<const target_candidate> targets, std::span<const zone_limit> limits) {
    view_.update(build_view(targets, limits));
}

std::shared_ptr<target_chooser::view> target_chooser::build_view(std::span<const target_candidate> targets,
                                                                 std::span<const zone_limit> limits) const {
    const std::shared_ptr<const view> previous = view_.read();
    auto next = std::make_shared<view>();
    for (const target_candidate& target : targets) {
        auto zone = std::find_if(next->zones.begin(), next->zones.end(),
                                 [&](const view_zone& known) { return known.name == target.zone; });
        if (zone == next->zones.end()) {
            const auto limit = std::find_if(limits.begin(), limits.end(), [&](const zone_limit& candidate) {
                return candidate.zone == target.zone;
            });
            const double max_concurrent_requests = limit == limits.end()
                                                       ? std::numeric_limits<double>::infinity()
                                                       : static_cast<double>(limit->max_concurrent_requests);
            const auto former =
                std::find_if(previous->zones.begin(), previous->zones.end(),
                             [&](const view_zone& known) { return known.name == target.zone; });
            zone = next->zones.insert(
                zone, {.name = target.zone,
                       .limit = max_concurrent_requests,
                       .transfer_ms = former == previous->zones.end()
                                          ? std::make_shared<std::atomic<double>>(unknown_transfer_ms)
                                          : former->transfer_ms});
        }
        std::shared_ptr<target_load> load;
        const auto known = previous->by_name.find(target.identity.name);
        if (known != previous->by_name.end() &&
            previous->targets[known->second].target.identity == target.identity) {
            load = previous->targets[known->second].load;
        } else {
            load = std::make_shared<target_load>();
        }
        next->by_name[target.identity.name] = static_cast<std::uint32_t>(next->targets.size());
        next->targets.push_back({.target = target,
                                 .zone = static_cast<std::uint32_t>(zone - next->zones.begin()),
                                 .load = std::move(load)});
    }
    return next;
}

void target_chooser::on_load_report(const load_report& report) {
    const std::shared_ptr<const view> current = view_.read();
    const auto found = current->by_name.find(report.target);
    if (found == current->by_name.end()) {
        return;
    }
    target_load& load = *current->targets[found->second].load;
    const auto total = static_cast<std::int32_t>(report.running + report.queued);
    const std::int32_t own = load.outstanding.load(std::memory_order_relaxed);
    load.requests_of_others.store(std::max(0, total - own), std::memory_order_relaxed);
    load.own_at_report.store(own, std::memory_order_relaxed);
    // Values of another process are bounded. Without a speed, the gate does not estimate its backlog.
    const bool has_backlog = report.speed > 0;
    load.speed.store(has_backlog ? std::clamp(report.speed, min_speed, max_speed) : 1.0,
                     std::memory_order_relaxed);
    load.expected_wait_ms.store(has_backlog && report.expected_wait_ms > 0
                                    ? std::min(report.expected_wait_ms, max_expected_wait_ms)
                                    : 0.0,
                                std::memory_order_relaxed);
    load.reported_at_ns.store(to_ns(clock_.now()), std::memory_order_relaxed);
    if (report.leaving) {
        load.leaving.store(true, std::memory_order_relaxed);
    }
    load.suspected_at_ns.store(report.suspect ? to_ns(clock_.now()) : 0, std::memory_order_relaxed);
}

void target_chooser::on_transfer(std::string_view target, std::chrono::nanoseconds time) {
    const std::shared_ptr<const view> current = view_.read();
    const auto found = current->by_name.find(target);
    if (found == current->by_name.end()) {
        return;
    }
    // Follows the low values: the time of single attempts includes slow callers and lost packets.
    constexpr double fall = 0.25;
    constexpr double rise = 1.0 / 64;
    std::atomic<double>& estimate = *current->zones[current->targets[found->second].zone].transfer_ms;
    const double sample =
        std::clamp(std::chrono::duration<double, std::milli>(time).count(), 0.0, max_transfer_ms);
    const double known = estimate.load(std::memory_order_relaxed);
    const double next = known < 0 ? sample : known + (sample < known ? fall : rise) * (sample - known);
    estimate.store(next, std::memory_order_relaxed);
}

target_choice target_chooser::choose(std::span<const std::string> excluded,
                                     const std::optional<expected_work>& work) {
    const std::shared_ptr<const view> current = view_.read();
    selection state{.current = *current, .now = clock_.now()};
    compute_weights(state, excluded);
    exclude_suspects(state);
    if (state.full_share_weight + state.reduced_share_weight <= 0) {
        return {.target = std::nullopt, .error = error_kind::no_target};
    }
    const std::optional<std::size_t> index = select_target(state, work);
    if (!index) {
        return {.target = std::nullopt, .error = error_kind::overloaded};
    }
    const view_target& chosen = current->targets[*index];
    return {
        .target = chosen_target(chosen.target.identity, chosen.target.node, chosen.target.zone, chosen.load),
        .error = error_kind::none,
        .suspect = state.only_suspects_left,
        .expected_ms = state.expected_ms};
}

std::optional<double> target_chooser::load_of(std::string_view target) const {
    const std::shared_ptr<const view> current = view_.read();
    const auto found = current->by_name.find(target);
    if (found == current->by_name.end()) {
        return std::nullopt;
    }
    const view_target& found_target = current->targets[found->second];
    return load_at(found_target, clock_.now()) / std::max(1U, found_target.target.slots);
}

// Estimates the requests that run or wait at the target. The other nodes' part of the last load report loses
// weight linearly with its age.
double target_chooser::load_at(const view_target& target, steady_time now) const {
    const target_load& load = *target.load;
    const double own = load.outstanding.load(std::memory_order_relaxed);
    const std::int64_t reported_at = load.reported_at_ns.load(std::memory_order_relaxed);
    if (reported_at == 0) {
        return own;
    }
    const auto age = std::chrono::nanoseconds(to_ns(now) - reported_at);
    const double weight = 1.0 - std::chrono::duration<double>(age) / options_.report_lifetime;
    return own + std::clamp(weight, 0.0, 1.0) * load.requests_of_others.load(std::memory_order_relaxed);
}

double target_chooser::share_at(const view_target& target, steady_time now) const {
    const auto ready_for = std::chrono::duration<double>(now - target.target.ready_since);
    const double ramp = std::clamp(ready_for / options_.warm_up, min_warm_up_share, full_share);
    return target.target.share * ramp;
}

void target_chooser::compute_weights(selection& state, std::span<const std::string> excluded) const {
    const std::vector<view_target>& targets = state.current.targets;
    state.weights.resize(targets.size());
    state.loads.resize(targets.size());
    state.reduced_share.resize(targets.size());
    state.zone_load.resize(state.current.zones.size());
    state.zone_capacity.resize(state.current.zones.size());
    double lowest_score = std::numeric_limits<double>::infinity();
    bool any_share = false;
    const auto accepts_requests = [](const view_target& item) {
        return item.target.accepts_requests && item.target.weight > 0 &&
               !item.load->leaving.load(std::memory_order_relaxed);
    };
    for (const view_target& item : targets) {
        if (accepts_requests(item)) {
            any_share = any_share || item.target.share > 0;
            lowest_score = std::min(lowest_score, item.target.outlier_score);
        }
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const view_target& item = targets[i];
        state.loads[i] = load_at(item, state.now);
        state.zone_load[item.zone] += state.loads[i];
        if (!accepts_requests(item) || contains(excluded, item.target.identity.name)) {
            continue;
        }
        const bool has_lowest_score = item.target.outlier_score <= lowest_score + equal_score_tolerance;
        const double share = any_share ? share_at(item, state.now) : (has_lowest_score ? full_share : 0.0);
        state.weights[i] = item.target.slots * item.target.weight * share;
        state.reduced_share[i] = share < full_share;
        (state.reduced_share[i] ? state.reduced_share_weight : state.full_share_weight) += state.weights[i];
        state.zone_capacity[item.zone] += item.target.slots * share;
    }
}

bool target_chooser::suspected_within(const view_target& target, steady_time now,
                                      std::chrono::milliseconds time) const {
    const std::int64_t suspected_at = target.load->suspected_at_ns.load(std::memory_order_relaxed);
    return suspected_at != 0 && suspected_at > to_ns(now - time);
}

std::chrono::milliseconds target_chooser::current_suspicion_time(const selection& state) const {
    const std::vector<view_target>& targets = state.current.targets;
    double load = 0;
    double slots = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (state.weights[i] > 0 &&
            !suspected_within(targets[i], state.now, options_.suspicion_time_with_spare_capacity)) {
            load += state.loads[i];
            slots += targets[i].target.slots;
        }
    }
    return load < options_.spare_capacity_max_load * slots ? options_.suspicion_time_with_spare_capacity
                                                           : options_.suspicion_time;
}

// Suspect targets keep their weights only when no other target has a positive weight.
void target_chooser::exclude_suspects(selection& state) const {
    const std::vector<view_target>& targets = state.current.targets;
    const std::chrono::milliseconds suspicion_time = current_suspicion_time(state);
    double unsuspected_weight = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        unsuspected_weight +=
            suspected_within(targets[i], state.now, suspicion_time) ? 0.0 : state.weights[i];
    }
    if (unsuspected_weight <= 0) {
        state.only_suspects_left = true;
        return;
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (suspected_within(targets[i], state.now, suspicion_time)) {
            (state.reduced_share[i] ? state.reduced_share_weight : state.full_share_weight) -=
                state.weights[i];
            state.weights[i] = 0;
        }
    }
}

std::optional<std::size_t> target_chooser::select_target(selection& state,
                                                         const std::optional<expected_work>& work) {
    double position = next_uniform() * (state.full_share_weight + state.reduced_share_weight);
    if (position < state.reduced_share_weight) {
        for (std::size_t i = 0; i < state.weights.size(); ++i) {
            if (state.reduced_share[i] && state.weights[i] > 0 && (position -= state.weights[i]) < 0) {
                return i;
            }
        }
    }
    if (work) {
        return select_by_completion(state, *work);
    }
    const std::optional<std::uint32_t> zone = select_zone(state);
    if (!zone) {
        return std::nullopt;
    }
    return select_in_zone(state, *zone);
}

// Selects among the zones that have a target at full share and are below their limit.
std::optional<std::uint32_t> target_chooser::select_zone(selection& state) {
    const std::vector<view_zone>& zones = state.current.zones;
    absl::InlinedVector<double, inline_zone_count> spare_capacity(zones.size(), 0.0);
    absl::InlinedVector<bool, inline_zone_count> eligible(zones.size(), false);
    for (std::size_t i = 0; i < state.weights.size(); ++i) {
        const std::uint32_t zone = state.current.targets[i].zone;
        eligible[zone] = eligible[zone] || (state.weights[i] > 0 && !state.reduced_share[i] &&
                                            state.zone_load[zone] < zones[zone].limit);
    }
    double total = 0;
    for (std::size_t z = 0; z < zones.size(); ++z) {
        if (!eligible[z]) {
            continue;
        }
        const double max_local_load = options_.local_zone_max_load * state.zone_capacity[z];
        if (zones[z].name == options_.local_zone && state.zone_load[z] < max_local_load) {
            return static_cast<std::uint32_t>(z);
        }
        // A full zone keeps a small weight, so that the selection does not fail when no zone has spare
        // capacity.
        spare_capacity[z] =
            std::max(state.zone_capacity[z] - state.zone_load[z], 0.01 * state.zone_capacity[z]);
        total += spare_capacity[z];
    }
    double position = next_uniform() * total;
    std::optional<std::uint32_t> last;
    for (std::size_t z = 0; z < zones.size(); ++z) {
        if (eligible[z]) {
            last = static_cast<std::uint32_t>(z);
            if ((position -= spare_capacity[z]) < 0) {
                break;
            }
        }
    }
    return last;
}

// Applies the power of two choices to the zone's targets at full share. The zone has at least one.
std::size_t target_chooser::select_in_zone(selection& state, std::uint32_t zone) {
    const auto weight_of = [&](std::size_t i) {
        return state.current.targets[i].zone == zone && !state.reduced_share[i] ? state.weights[i] : 0.0;
    };
    const std::size_t count = state.weights.size();
    const auto sample = [&](std::size_t without) {
        double total = 0;
        for (std::size_t i = 0; i < count; ++i) {
            total += i == without ? 0.0 : weight_of(i);
        }
        double position = next_uniform() * total;
        std::size_t last = count;
        for (std::size_t i = 0; i < count; ++i) {
            if (i != without && weight_of(i) > 0) {
                last = i;
                if ((position -= weight_of(i)) < 0) {
                    break;
                }
            }
        }
        return last;
    };
    const std::size_t first = sample(count);
    const std::size_t second = sample(first);
    if (second == count) {
        return first;
    }
    const auto load_per_slot = [&](std::size_t i) {
        return state.loads[i] / std::max(1U, state.current.targets[i].target.slots);
    };
    return load_per_slot(second) < load_per_slot(first) ? second : first;
}

reported_load target_chooser::reported_load_of(const view_target& target, steady_time now) const {
    const target_load& load = *target.load;
    const std::int64_t reported_at = load.reported_at_ns.load(std::memory_order_relaxed);
    const double own = load.outstanding.load(std::memory_order_relaxed);
    const bool reported = reported_at != 0;
    return {
        .slots = std::max(1U, target.target.slots),
        .requests = own + (reported ? load.requests_of_others.load(std::memory_order_relaxed) : 0),
        .own_since_report = own - load.own_at_report.load(std::memory_order_relaxed),
        .expected_wait_ms = load.expected_wait_ms.load(std::memory_order_relaxed),
        .speed = load.speed.load(std::memory_order_relaxed),
        .reported = reported,
        .age = reported ? std::chrono::nanoseconds(to_ns(now) - reported_at) : std::chrono::nanoseconds{0}};
}

double target_chooser::transfer_ms(const selection& state, const view_target& target) const {
    const view_zone& zone = state.current.zones[target.zone];
    const double known = zone.transfer_ms->load(std::memory_order_relaxed);
    const double assumed = zone.name == options_.local_zone ? local_transfer_ms : remote_transfer_ms;
    const double transfer = known < 0 ? assumed : known;
    const std::int64_t reported_at = target.load->reported_at_ns.load(std::memory_order_relaxed);
    // A new connection takes one more round trip.
    const bool is_connected = reported_at != 0 && reported_at > to_ns(state.now - connection_lifetime);
    return is_connected ? transfer : 2 * transfer;
}

// Samples two targets of the local zone and two of the others, by slots, weight and speed, and takes the
// best of them. The random sample keeps the nodes from sending all requests to the same idle target.
std::optional<std::size_t> target_chooser::select_by_completion(selection& state, const expected_work& work) {
    const std::vector<view_target>& targets = state.current.targets;
    const std::size_t count = targets.size();
    const completion_estimate estimate(work);
    absl::InlinedVector<reported_load, inline_target_count> loads(count);
    absl::InlinedVector<double, inline_zone_count> excess(state.current.zones.size(), 0.0);
    absl::InlinedVector<double, inline_zone_count> excess_weight(state.current.zones.size(), 0.0);
    absl::InlinedVector<double, inline_target_count> local_weights(count, 0.0);
    absl::InlinedVector<double, inline_target_count> other_weights(count, 0.0);
    // Without recent reports, half of the slots are assumed to be free.
    constexpr double assumed_excess = -0.5;
    constexpr double assumed_weight = 0.05;
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint32_t zone = targets[i].zone;
        loads[i] = reported_load_of(targets[i], state.now);
        const double report_weight = completion_estimate::zone_weight(loads[i]);
        // Waits are averaged at normal speed, so that a slow target's few requests weigh like its wait.
        const double reported = estimate.reported_excess(loads[i]);
        excess[zone] += report_weight * (reported > 0 ? reported / loads[i].speed : reported);
        excess_weight[zone] += report_weight;
        if (state.reduced_share[i] || state.zone_load[zone] >= state.current.zones[zone].limit) {
            continue;
        }
        const bool is_local = state.current.zones[zone].name == options_.local_zone;
        (is_local ? local_weights : other_weights)[i] = state.weights[i] * loads[i].speed;
    }
    const auto completion = [&](std::size_t i) {
        const std::uint32_t zone = targets[i].zone;
        const double zone_excess =
            (excess[zone] + assumed_weight * assumed_excess) / (excess_weight[zone] + assumed_weight);
        return estimate.completion_ms(loads[i], zone_excess, transfer_ms(state, targets[i]));
    };
    const auto best_of_two = [&](std::span<const double> weights) {
        const std::size_t first = sample(weights, count);
        const std::size_t second = first == count ? count : sample(weights, first);
        if (second == count) {
            return first;
        }
        // Within the noise the choice is random, so that the nodes do not all prefer the same of few targets.
        const double threshold = (2 * next_uniform() - 1) * estimate.noise_ms(loads[first]);
        return completion(second) - completion(first) < threshold ? second : first;
    };
    const std::size_t local = best_of_two(local_weights);
    const std::size_t other = best_of_two(other_weights);
    if (local == count && other == count) {
        return std::nullopt;
    }
    std::size_t chosen = local == count ? other : local;
    if (local != count && other != count) {
        // The share that leaves the zone grows with the advantage, so that the nodes of a busy zone do not
        // all move to another one at the same time.
        const double noise = estimate.noise_ms(loads[local]);
        const double advantage = completion(local) - completion(other) - noise;
        if (advantage > 0 && next_uniform() * (advantage + noise) < advantage) {
            chosen = other;
        }
    }
    state.expected_ms = completion(chosen);
    return chosen;
}

// Returns the size of `weights` when no weight is positive.
std::size_t target_chooser::sample(std::span<const double> weights, std::size_t without) {
    double total = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        total += i == without ? 0.0 : weights[i];
    }
    double position = next_uniform() * total;
    std::size_t last = weights.size();
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (i != without && weights[i] > 0) {
            last = i;
            if ((position -= weights[i]) < 0) {
                break;
            }
        }
    }
    return last;
}

double target_chooser::next_uniform() {
    const std::uint64_t index = random_counter_.fetch_add(1, std::memory_order_relaxed);
    return static_cast<double>(mix_bits(seed_ + (index + 1) * 0x9e3779b97f4a7c15U) >> 11U) * 0x1.0p-53;
}

}  // namespace teaselpitch
