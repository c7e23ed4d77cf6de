#include "servers/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/identity.h"

namespace teaselpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr double service_time_weight = 1.0 / 16;  // The mean follows a change within about 16 requests.
constexpr double certain_failure_share = 0.5;     // Few requests finish in half of the mean service time.
// Mean deviations kept between the latest start and the deadline. At twice the capacity and deadlines of five
// service times, 1 let 8% of the capacity finish late, 3 lets 2%; 4 leaves slots idle at shorter deadlines.
constexpr double late_guard = 3;
constexpr milliseconds min_retry_after{50};

// Guarantee P5 allows 2 s until a leaving target gets no more work; a queued request goes elsewhere well
// before.
constexpr milliseconds leaving_grace{1'000};
constexpr std::size_t most_classes = 256;  // Bounds the memory against a configuration with very many routes.

constexpr std::string_view leaving_reason = "The target is leaving.";
constexpr std::string_view duplicate_reason = "The ticket is already in use.";
constexpr std::string_view deadline_reason = "The deadline has passed.";
constexpr std::string_view late_reason = "The request cannot finish before its deadline.";
constexpr std::string_view full_reason = "The queue of the target is full.";
constexpr std::string_view busy_reason = "No slot is free, and the request does not queue.";
constexpr std::string_view outranked_reason =
    "Requests of a higher rank take the slots until it would be late.";
constexpr std::string_view displaced_reason = "The account holds the largest part of a full queue.";
constexpr std::string_view waited_reason = "No slot became free within the longest wait.";

}  // namespace

admission_queue::admission_queue(const time_source& clock, const admission_options& options)
    : clock_(clock),
      max_queued_(options.max_queued),
      max_wait_(options.max_wait),
      slots_(options.slots),
      all_work_{.mean_ns = static_cast<double>(nanoseconds(options.initial_service_time).count())} {
    queue_.reserve(max_queued_);
}

offer_result admission_queue::offer(ticket_id ticket, const admission_request& request) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    if (leaving_) {
        return refusal(error_kind::target_leaving, leaving_reason);
    }
    if (running_.contains(ticket)) {
        return refusal(error_kind::internal, duplicate_reason);
    }
    if (request.deadline <= now) {
        return refusal(error_kind::deadline_expired, deadline_reason);
    }
    // With nothing running the estimate may be outdated, and only a new run can correct it.
    if (!running_.empty() && !can_finish(request, now)) {
        return refusal(error_kind::overloaded, late_reason);
    }
    if (has_free_slot() && queue_.empty()) {
        running_.emplace(ticket, running{now, request.work_class});
        return {.outcome = offer_outcome::admitted};
    }
    if (!request.may_queue) {
        return refusal(error_kind::overloaded, busy_reason);
    }
    std::vector<dropped_ticket> late = take_late(now);
    offer_result result = enqueue(make_waiting(ticket, request, now), now);
    result.dropped.insert(result.dropped.end(), late.begin(), late.end());
    return result;
}

admission_queue::waiting admission_queue::make_waiting(ticket_id ticket, const admission_request& request,
                                                       steady_time now) const {
    waiting entry;
    entry.latest_start = std::min(now + max_wait_, request.deadline - safe_service_time(request.work_class));
    entry.start_by = entry.latest_start;
    entry.deadline = request.deadline;
    entry.account = stable_hash(request.account);
    entry.ticket = ticket;
    entry.work_class = request.work_class;
    entry.rank = request.rank;
    if (request.objective != steady_time{}) {
        const auto usual = nanoseconds(static_cast<std::int64_t>(time_of(request.work_class).mean_ns));
        entry.start_by = std::min(entry.latest_start, request.objective - usual);
    }
    return entry;
}

offer_result admission_queue::enqueue(const waiting& entry, steady_time now) {
    if (std::any_of(queue_.begin(), queue_.end(),
                    [&entry](const waiting& other) { return other.ticket == entry.ticket; })) {
        return refusal(error_kind::internal, duplicate_reason);
    }
    offer_result result{.outcome = offer_outcome::queued};
    if (fits(entry, now)) {
        insert(entry);
        result.dropped = take_displaced(now);
        return result;
    }
    // What misses its objective anyway waits behind the others for as long as its deadline allows.
    waiting behind = entry;
    behind.late = true;
    behind.start_by = entry.latest_start;
    if (entry.start_by < entry.latest_start && fits(behind, now)) {
        insert(behind);
        return result;
    }
    const std::optional<std::size_t> victim = displaceable(entry);
    if (!victim) {
        return refusal(error_kind::overloaded, full_reason);
    }
    const waiting removed = remove_at(*victim);
    if (!fits(entry, now)) {
        insert(removed);
        return refusal(error_kind::overloaded, full_reason);
    }
    result.dropped.push_back({removed.ticket, error_kind::overloaded, displaced_reason,
                              refusal(error_kind::overloaded, displaced_reason).retry_after});
    insert(entry);
    return result;
}

// Refuses requests of lower ranks that can no longer start in time behind the others.
std::vector<dropped_ticket> admission_queue::take_displaced(steady_time now) {
    std::vector<dropped_ticket> displaced;
    for (std::size_t i = 0; i < queue_.size();) {
        const bool lowest_rank = queue_[i].rank > queue_.back().rank;
        if (!lowest_rank || now + wait_at(queue_.size() - 1 - i) <= queue_[i].latest_start) {
            ++i;
            continue;
        }
        const waiting removed = remove_at(i);
        displaced.push_back({removed.ticket, error_kind::overloaded, outranked_reason,
                             refusal(error_kind::overloaded, outranked_reason).retry_after});
    }
    return displaced;
}

admission_change admission_queue::release(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const auto found = running_.find(ticket);
    if (found != running_.end()) {
        learn_service_time(found->second.work_class, now - found->second.since);
        running_.erase(found);
    }
    return refill(now);
}

admission_change admission_queue::cancel(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    if (running_.erase(ticket) == 0) {
        const auto found = std::find_if(queue_.begin(), queue_.end(),
                                        [ticket](const waiting& entry) { return entry.ticket == ticket; });
        if (found != queue_.end()) {
            remove_at(static_cast<std::size_t>(found - queue_.begin()));
        }
    }
    return refill(clock_.now());
}

admission_change admission_queue::on_tick() {
    const std::lock_guard lock(mutex_);
    return refill(clock_.now());
}

admission_change admission_queue::set_slots(std::uint32_t slots) {
    const std::lock_guard lock(mutex_);
    slots_ = slots;
    return refill(clock_.now());
}

void admission_queue::set_max_wait(milliseconds max_wait) {
    const std::lock_guard lock(mutex_);
    max_wait_ = max_wait;
}

void admission_queue::set_leaving() {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
    const steady_time last = clock_.now() + leaving_grace;
    for (waiting& entry : queue_) {
        entry.latest_start = std::min(entry.latest_start, last);
    }
}

admission_load admission_queue::load() const {
    const std::lock_guard lock(mutex_);
    admission_load load{.slots = slots_,
                        .running = static_cast<std::uint32_t>(running_.size()),
                        .queued = static_cast<std::uint32_t>(queue_.size()),
                        .mean_service_time = nanoseconds(static_cast<std::int64_t>(all_work_.mean_ns))};
    load.expected_wait = has_free_slot() ? nanoseconds{0} : wait_at(queue_.size());
    if (leaving_) {
        const bool empty = running_.empty() && queue_.empty();
        load.state = empty ? admission_state::drained : admission_state::leaving;
    }
    return load;
}

std::optional<steady_time> admission_queue::next_expiry() const {
    const std::lock_guard lock(mutex_);
    if (queue_.empty()) {
        return std::nullopt;
    }
    return queue_.back().latest_start;
}

nanoseconds admission_queue::wait_at(std::size_t position) const {
    const double rounds = static_cast<double>(position + 1) / std::max<std::uint32_t>(slots_, 1);
    return nanoseconds(static_cast<std::int64_t>(rounds * all_work_.mean_ns));
}

const admission_queue::service_time& admission_queue::time_of(std::uint64_t work_class) const {
    const auto found = work_by_class_.find(work_class);
    return found == work_by_class_.end() ? all_work_ : found->second;
}

nanoseconds admission_queue::safe_service_time(std::uint64_t work_class) const {
    const service_time& time = time_of(work_class);
    return nanoseconds(static_cast<std::int64_t>(time.mean_ns + late_guard * time.deviation_ns));
}

bool admission_queue::can_finish(const admission_request& request, steady_time now) const {
    return static_cast<double>(nanoseconds(request.deadline - now).count()) >=
           time_of(request.work_class).mean_ns * certain_failure_share;
}

bool admission_queue::goes_before(const waiting& left, const waiting& right) {
    return std::tie(left.rank, left.late, left.start_by) < std::tie(right.rank, right.late, right.start_by);
}

std::size_t admission_queue::position_of(const waiting& entry) const {
    const auto after = std::partition_point(
        queue_.begin(), queue_.end(), [&entry](const waiting& other) { return goes_before(entry, other); });
    return static_cast<std::size_t>(after - queue_.begin());
}

bool admission_queue::fits(const waiting& entry, steady_time now) const {
    if (queue_.size() >= max_queued_ || slots_ == 0 || wait_at(queue_.size()) > max_wait_) {
        return false;
    }
    const std::size_t position = position_of(entry);
    if (now + wait_at(queue_.size() - position) > entry.start_by) {
        return false;
    }
    // A request behind the new one starts one place later and must not become late by that, unless it is of a
    // lower rank.
    for (std::size_t i = 0; i < position; ++i) {
        if (queue_[i].rank > entry.rank) {
            continue;
        }
        const nanoseconds slack = queue_[i].latest_start - now;
        if (wait_at(queue_.size() - i) > slack && wait_at(queue_.size() - i - 1) <= slack) {
            return false;
        }
    }
    return true;
}

std::optional<std::size_t> admission_queue::displaceable(const waiting& entry) const {
    // Equal counts are told apart by the account, because the order of the table differs between processes.
    const auto largest = std::max_element(
        queued_by_account_.begin(), queued_by_account_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second, left.first) < std::pair(right.second, right.first);
        });
    if (largest == queued_by_account_.end()) {
        return std::nullopt;
    }
    const auto own = queued_by_account_.find(entry.account);
    const std::uint32_t own_count = own == queued_by_account_.end() ? 0 : own->second;
    if (largest->second <= own_count + 1) {
        return std::nullopt;
    }
    const auto latest = std::find_if(queue_.begin(), queue_.end(), [&](const waiting& other) {
        return other.account == largest->first && other.rank >= entry.rank;
    });
    if (latest == queue_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(latest - queue_.begin());
}

offer_result admission_queue::refusal(error_kind error, std::string_view reason) const {
    offer_result result{.error = error, .reason = reason};
    if (get_error_answer(error).advice == retry_advice::later) {
        const nanoseconds wait = has_free_slot() ? nanoseconds{0} : wait_at(queue_.size());
        result.retry_after = std::max(min_retry_after, std::chrono::ceil<milliseconds>(wait));
    }
    return result;
}

void admission_queue::insert(const waiting& entry) {
    // Equal requests keep their order of arrival: the newer one goes in front, further from the end.
    const auto place = std::partition_point(
        queue_.begin(), queue_.end(), [&entry](const waiting& other) { return goes_before(entry, other); });
    queue_.insert(place, entry);
    ++queued_by_account_[entry.account];
}

admission_queue::waiting admission_queue::remove_at(std::size_t position) {
    const waiting entry = queue_[position];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(position));
    const auto count = queued_by_account_.find(entry.account);
    if (--count->second == 0) {
        queued_by_account_.erase(count);
    }
    return entry;
}

std::vector<dropped_ticket> admission_queue::take_late(steady_time now) {
    std::vector<dropped_ticket> late;
    for (std::size_t i = queue_.size(); i-- > 0;) {
        if (queue_[i].latest_start > now) {
            continue;
        }
        const waiting entry = remove_at(i);
        const bool expired = entry.deadline <= now;
        offer_result refused = refusal(expired ? error_kind::deadline_expired : error_kind::overloaded,
                                       expired ? deadline_reason : waited_reason);
        if (leaving_ && !expired) {
            refused = refusal(error_kind::target_leaving, leaving_reason);
        }
        late.push_back({entry.ticket, refused.error, refused.reason, refused.retry_after});
    }
    return late;
}

void admission_queue::learn_service_time(std::uint64_t work_class, nanoseconds sample) {
    const auto learn = [sample](service_time& time) {
        const double error = static_cast<double>(sample.count()) - time.mean_ns;
        time.mean_ns += service_time_weight * error;
        time.deviation_ns += service_time_weight * (std::abs(error) - time.deviation_ns);
    };
    learn(all_work_);
    if (work_class == 0) {
        return;
    }
    const auto known = work_by_class_.find(work_class);
    if (known != work_by_class_.end()) {
        learn(known->second);
    } else if (work_by_class_.size() < most_classes) {
        work_by_class_.emplace(work_class, service_time{static_cast<double>(sample.count()), 0});
    }
}

admission_change admission_queue::refill(steady_time now) {
    admission_change change;
    change.dropped = take_late(now);
    while (has_free_slot() && !queue_.empty()) {
        const waiting entry = remove_at(queue_.size() - 1);
        running_.emplace(entry.ticket, running{now, entry.work_class});
        change.admitted.push_back(entry.ticket);
    }
    return change;
}

}  // namespace teaselpitch
