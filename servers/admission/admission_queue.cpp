#include "servers/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/identity.h"
#include "servers/admission/account_order.h"

namespace teaselpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr double service_time_weight =
    1.0 / 16;  // The moving average follows a change within about 16 requests.
constexpr double min_feasible_fraction = 0.5;  // Few requests finish within half of the mean service time.
// Number of mean deviations added to the service time estimate when the latest start is derived from the
// deadline. At twice the capacity and deadlines of five service times, 8% of the capacity finished late with
// 1 and 2% with 3; with 4, slots stay idle at shorter deadlines.
constexpr double deviation_margin = 3;
constexpr milliseconds min_retry_after{50};

// Guarantee P5 allows 2 s until a leaving target receives no more requests. Queued requests are refused well
// before that and can be retried on another target.
constexpr milliseconds max_wait_when_leaving{1'000};
constexpr std::size_t max_work_classes = 256;  // Bounds memory when a configuration has very many routes.

constexpr std::string_view leaving_reason = "The target is leaving and accepts no new requests.";
constexpr std::string_view duplicate_reason = "The ticket is already in use.";
constexpr std::string_view deadline_reason = "The deadline has passed.";
constexpr std::string_view late_reason = "The request cannot finish before its deadline.";
constexpr std::string_view full_reason = "The queue of the target has no room for the request.";
constexpr std::string_view busy_reason = "No slot is free, and the request must not wait in the queue.";
constexpr std::string_view outranked_reason =
    "Requests of a higher rank use all slots until this request would be late.";
constexpr std::string_view displaced_reason =
    "The queue is full, and the account holds the largest part of it.";
constexpr std::string_view turn_reason =
    "Accounts with less work use all slots until this request would be late.";
constexpr std::string_view max_wait_reason = "No slot became free within the maximum wait.";

}  // namespace

admission_queue::admission_queue(const time_source& clock, const admission_options& options)
    : clock_(clock),
      max_queued_(options.max_queued),
      fair_accounts_(options.fair_accounts),
      max_wait_(options.max_wait),
      slots_(options.slots),
      overall_service_time_{.mean_ns =
                                static_cast<double>(nanoseconds(options.initial_service_time).count())} {
    queue_.reserve(max_queued_);
}

offer_result admission_queue::offer(ticket_id ticket, const admission_request& request) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    if (leaving_) {
        return make_refusal(error_kind::target_leaving, leaving_reason);
    }
    if (running_.contains(ticket)) {
        return make_refusal(error_kind::internal, duplicate_reason);
    }
    if (request.deadline <= now) {
        return make_refusal(error_kind::deadline_expired, deadline_reason);
    }
    // With no running request the estimate may be outdated, and only a new run can correct it.
    if (!running_.empty() && !may_finish_in_time(request, now)) {
        return make_refusal(error_kind::overloaded, late_reason);
    }
    if (has_free_slot() && queue_.empty()) {
        running_.emplace(ticket, running_request{now, request.work_class, stable_hash(request.account)});
        return {.outcome = offer_outcome::admitted};
    }
    if (!request.may_queue) {
        return make_refusal(error_kind::overloaded, busy_reason);
    }
    std::vector<dropped_ticket> overdue = remove_overdue(now);
    offer_result result = enqueue(make_queued_request(ticket, request, now), now);
    result.dropped.insert(result.dropped.end(), overdue.begin(), overdue.end());
    return result;
}

admission_queue::queued_request admission_queue::make_queued_request(ticket_id ticket,
                                                                     const admission_request& request,
                                                                     steady_time now) const {
    queued_request entry;
    entry.latest_start =
        std::min(now + max_wait_, request.deadline - required_service_time(request.work_class));
    entry.start_by = entry.latest_start;
    entry.deadline = request.deadline;
    entry.account = stable_hash(request.account);
    entry.has_account = !request.account.empty();
    entry.ticket = ticket;
    entry.work_class = request.work_class;
    entry.rank = request.rank;
    if (request.objective != steady_time{}) {
        const auto mean_time =
            nanoseconds(static_cast<std::int64_t>(service_time_of(request.work_class).mean_ns));
        entry.start_by = std::min(entry.latest_start, request.objective - mean_time);
    }
    return entry;
}

offer_result admission_queue::enqueue(const queued_request& entry, steady_time now) {
    if (find_ticket(entry.ticket) != queue_.size()) {
        return make_refusal(error_kind::internal, duplicate_reason);
    }
    if (takes_turns(&entry)) {
        return enqueue_by_turns(entry, now);
    }
    offer_result result{.outcome = offer_outcome::queued};
    if (can_enqueue(entry, now)) {
        insert(entry);
        result.dropped = remove_outranked(now);
        return result;
    }
    // A request that cannot meet its objective waits behind the others, as long as its deadline allows.
    queued_request late_request = entry;
    late_request.misses_objective = true;
    late_request.start_by = entry.latest_start;
    if (entry.start_by < entry.latest_start && can_enqueue(late_request, now)) {
        insert(late_request);
        return result;
    }
    const std::optional<std::size_t> victim_position = find_displaceable(entry);
    if (!victim_position) {
        return make_refusal(error_kind::overloaded, full_reason);
    }
    const queued_request removed = remove_at(*victim_position);
    if (!can_enqueue(entry, now)) {
        insert(removed);
        return make_refusal(error_kind::overloaded, full_reason);
    }
    const std::string_view reason = removed.rank > entry.rank ? outranked_reason : displaced_reason;
    result.dropped.push_back(make_dropped(removed, reason));
    insert(entry);
    return result;
}

// Removes the requests of lower ranks that can no longer start in time behind the others.
std::vector<dropped_ticket> admission_queue::remove_outranked(steady_time now) {
    std::vector<dropped_ticket> outranked;
    for (std::size_t i = 0; i < queue_.size();) {
        const bool outranked_by_head = queue_[i].rank > queue_.back().rank;
        if (!outranked_by_head || now + estimate_wait(queue_.size() - 1 - i) <= queue_[i].latest_start) {
            ++i;
            continue;
        }
        const queued_request removed = remove_at(i);
        outranked.push_back(make_dropped(removed, outranked_reason));
    }
    return outranked;
}

bool admission_queue::takes_turns(const queued_request* entry) const {
    return fair_accounts_ && (queued_with_account_ > 0 || (entry != nullptr && entry->has_account));
}

// Positions in queue_, the next request to run first.
std::vector<std::size_t> admission_queue::order_of_turns(steady_time now) const {
    const auto work_of = [this](std::uint64_t work_class) {
        return nanoseconds(static_cast<std::int64_t>(service_time_of(work_class).mean_ns));
    };
    work_by_account running;
    for (const auto& [ticket, request] : running_) {
        running[request.account] += work_of(request.work_class);
    }
    // An account's requests that miss their objective by now run after its others.
    std::vector<std::size_t> positions;
    std::vector<account_order_item> items;
    for (const bool late : {false, true}) {
        for (std::size_t i = queue_.size(); i-- > 0;) {
            const queued_request& entry = queue_[i];
            if ((entry.has_account && entry.start_by < now) != late) {
                continue;
            }
            positions.push_back(i);
            items.push_back({.rank = entry.rank,
                             .has_account = entry.has_account,
                             .account = entry.account,
                             .work = work_of(entry.work_class)});
        }
    }
    std::vector<std::size_t> order = order_by_account(items, running);
    std::transform(order.begin(), order.end(), order.begin(),
                   [&positions](std::size_t index) { return positions[index]; });
    return order;
}

std::size_t admission_queue::turn_of(ticket_id ticket, steady_time now) const {
    const std::vector<std::size_t> order = order_of_turns(now);
    const auto found = std::find_if(order.begin(), order.end(),
                                    [&](std::size_t position) { return queue_[position].ticket == ticket; });
    return static_cast<std::size_t>(found - order.begin());
}

offer_result admission_queue::enqueue_by_turns(queued_request entry, steady_time now) {
    insert(entry);
    std::size_t turn = turn_of(entry.ticket, now);
    if (now + estimate_wait(turn) > entry.start_by && entry.start_by < entry.latest_start) {
        // It misses its objective and waits behind the other requests of its account.
        remove_at(find_ticket(entry.ticket));
        entry.misses_objective = true;
        entry.start_by = entry.latest_start;
        insert(entry);
        turn = turn_of(entry.ticket, now);
    }
    const bool is_last = turn + 1 == queue_.size();
    if (slots_ == 0 || now + estimate_wait(turn) > entry.latest_start || estimate_wait(turn) > max_wait_ ||
        (queue_.size() > max_queued_ && is_last)) {
        remove_at(find_ticket(entry.ticket));
        return make_refusal(error_kind::overloaded, full_reason);
    }
    offer_result result{.outcome = offer_outcome::queued};
    if (queue_.size() > max_queued_) {
        result.dropped.push_back(make_dropped(remove_at(order_of_turns(now).back()), turn_reason));
    }
    remove_late_turns(turn + 1, now, result.dropped);
    return result;
}

// Removes the requests from a turn on that can no longer start in time behind the others.
void admission_queue::remove_late_turns(std::size_t first_turn, steady_time now,
                                        std::vector<dropped_ticket>& dropped) {
    std::vector<ticket_id> late;
    const std::vector<std::size_t> order = order_of_turns(now);
    std::size_t turn = first_turn;
    for (std::size_t i = first_turn; i < order.size(); ++i) {
        if (now + estimate_wait(turn) <= queue_[order[i]].latest_start) {
            ++turn;
        } else {
            late.push_back(queue_[order[i]].ticket);
        }
    }
    for (const ticket_id ticket : late) {
        dropped.push_back(make_dropped(remove_at(find_ticket(ticket)), turn_reason));
    }
}

dropped_ticket admission_queue::make_dropped(const queued_request& removed, std::string_view reason) const {
    return {removed.ticket, error_kind::overloaded, reason,
            make_refusal(error_kind::overloaded, reason).retry_after};
}

// Returns the size of the queue for an unknown ticket.
std::size_t admission_queue::find_ticket(ticket_id ticket) const {
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [ticket](const queued_request& entry) { return entry.ticket == ticket; });
    return static_cast<std::size_t>(found - queue_.begin());
}

admission_change admission_queue::release(ticket_id ticket, nanoseconds waited_for_caller) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const auto found = running_.find(ticket);
    if (found != running_.end()) {
        const nanoseconds taken = now - found->second.started_at;
        update_service_time(found->second.work_class, std::max(taken - waited_for_caller, nanoseconds{0}));
        running_.erase(found);
    }
    return fill_free_slots(now);
}

admission_change admission_queue::cancel(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    if (running_.erase(ticket) == 0) {
        const std::size_t position = find_ticket(ticket);
        if (position != queue_.size()) {
            remove_at(position);
        }
    }
    return fill_free_slots(clock_.now());
}

admission_change admission_queue::on_tick() {
    const std::lock_guard lock(mutex_);
    return fill_free_slots(clock_.now());
}

admission_change admission_queue::set_slots(std::uint32_t slots) {
    const std::lock_guard lock(mutex_);
    slots_ = slots;
    return fill_free_slots(clock_.now());
}

void admission_queue::set_max_wait(milliseconds max_wait) {
    const std::lock_guard lock(mutex_);
    max_wait_ = max_wait;
}

void admission_queue::set_leaving() {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
    const steady_time last_start = clock_.now() + max_wait_when_leaving;
    for (queued_request& entry : queue_) {
        entry.latest_start = std::min(entry.latest_start, last_start);
    }
}

admission_load admission_queue::load() const {
    const std::lock_guard lock(mutex_);
    admission_load load{
        .slots = slots_,
        .running = static_cast<std::uint32_t>(running_.size()),
        .queued = static_cast<std::uint32_t>(queue_.size()),
        .mean_service_time = nanoseconds(static_cast<std::int64_t>(overall_service_time_.mean_ns))};
    load.expected_wait = has_free_slot() ? nanoseconds{0} : estimate_wait(queue_.size());
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

nanoseconds admission_queue::estimate_wait(std::size_t position) const {
    const double rounds = static_cast<double>(position + 1) / std::max<std::uint32_t>(slots_, 1);
    return nanoseconds(static_cast<std::int64_t>(rounds * overall_service_time_.mean_ns));
}

const admission_queue::service_time& admission_queue::service_time_of(std::uint64_t work_class) const {
    const auto found = service_time_by_class_.find(work_class);
    return found == service_time_by_class_.end() ? overall_service_time_ : found->second;
}

// The time that must remain before the deadline when a request starts. The other classes say little about a
// class without a finished request, which may be a route that was just added; it is only refused when it has
// no chance.
nanoseconds admission_queue::required_service_time(std::uint64_t work_class) const {
    if (work_class != 0 && !service_time_by_class_.contains(work_class)) {
        return nanoseconds(static_cast<std::int64_t>(overall_service_time_.mean_ns * min_feasible_fraction));
    }
    const service_time& time = service_time_of(work_class);
    return nanoseconds(static_cast<std::int64_t>(time.mean_ns + deviation_margin * time.deviation_ns));
}

bool admission_queue::may_finish_in_time(const admission_request& request, steady_time now) const {
    return static_cast<double>(nanoseconds(request.deadline - now).count()) >=
           service_time_of(request.work_class).mean_ns * min_feasible_fraction;
}

bool admission_queue::precedes(const queued_request& left, const queued_request& right) {
    return std::tie(left.rank, left.misses_objective, left.start_by) <
           std::tie(right.rank, right.misses_objective, right.start_by);
}

std::size_t admission_queue::find_position(const queued_request& entry) const {
    const auto after =
        std::partition_point(queue_.begin(), queue_.end(),
                             [&entry](const queued_request& other) { return precedes(entry, other); });
    return static_cast<std::size_t>(after - queue_.begin());
}

bool admission_queue::can_enqueue(const queued_request& entry, steady_time now) const {
    if (queue_.size() >= max_queued_ || slots_ == 0 || estimate_wait(queue_.size()) > max_wait_) {
        return false;
    }
    const std::size_t position = find_position(entry);
    if (now + estimate_wait(queue_.size() - position) > entry.start_by) {
        return false;
    }
    // Each request behind the new one starts one position later. It must still start in time, unless it has a
    // lower rank.
    for (std::size_t i = 0; i < position; ++i) {
        if (queue_[i].rank > entry.rank) {
            continue;
        }
        const nanoseconds slack = queue_[i].latest_start - now;
        if (estimate_wait(queue_.size() - i) > slack && estimate_wait(queue_.size() - i - 1) <= slack) {
            return false;
        }
    }
    return true;
}

std::optional<std::size_t> admission_queue::find_displaceable(const queued_request& entry) const {
    // The first entry would run last and has the lowest rank.
    if (!queue_.empty() && queue_.front().rank > entry.rank) {
        return 0;
    }
    // Ties are broken by the account hash, because the iteration order of the map differs between processes.
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
    const auto latest = std::find_if(queue_.begin(), queue_.end(), [&](const queued_request& other) {
        return other.account == largest->first && other.rank >= entry.rank;
    });
    if (latest == queue_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(latest - queue_.begin());
}

offer_result admission_queue::make_refusal(error_kind error, std::string_view reason) const {
    offer_result result{.error = error, .reason = reason};
    if (get_error_answer(error).advice == retry_advice::later) {
        const nanoseconds wait = has_free_slot() ? nanoseconds{0} : estimate_wait(queue_.size());
        result.retry_after = std::max(min_retry_after, std::chrono::ceil<milliseconds>(wait));
    }
    return result;
}

void admission_queue::insert(const queued_request& entry) {
    // Equal requests keep their order of arrival: the new one is inserted before them, further from the end.
    const auto insert_position =
        std::partition_point(queue_.begin(), queue_.end(),
                             [&entry](const queued_request& other) { return precedes(entry, other); });
    queue_.insert(insert_position, entry);
    ++queued_by_account_[entry.account];
    queued_with_account_ += entry.has_account ? 1 : 0;
}

admission_queue::queued_request admission_queue::remove_at(std::size_t position) {
    const queued_request entry = queue_[position];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(position));
    queued_with_account_ -= entry.has_account ? 1 : 0;
    const auto count = queued_by_account_.find(entry.account);
    if (--count->second == 0) {
        queued_by_account_.erase(count);
    }
    return entry;
}

std::vector<dropped_ticket> admission_queue::remove_overdue(steady_time now) {
    std::vector<dropped_ticket> overdue;
    for (std::size_t i = queue_.size(); i-- > 0;) {
        if (queue_[i].latest_start > now) {
            continue;
        }
        const queued_request entry = remove_at(i);
        const bool expired = entry.deadline <= now;
        offer_result refused = make_refusal(expired ? error_kind::deadline_expired : error_kind::overloaded,
                                            expired ? deadline_reason : max_wait_reason);
        if (leaving_ && !expired) {
            refused = make_refusal(error_kind::target_leaving, leaving_reason);
        }
        overdue.push_back({entry.ticket, refused.error, refused.reason, refused.retry_after});
    }
    return overdue;
}

void admission_queue::update_service_time(std::uint64_t work_class, nanoseconds sample) {
    const auto update_estimate = [sample](service_time& time) {
        const double error = static_cast<double>(sample.count()) - time.mean_ns;
        time.mean_ns += service_time_weight * error;
        time.deviation_ns += service_time_weight * (std::abs(error) - time.deviation_ns);
    };
    update_estimate(overall_service_time_);
    if (work_class == 0) {
        return;
    }
    const auto known = service_time_by_class_.find(work_class);
    if (known != service_time_by_class_.end()) {
        update_estimate(known->second);
    } else if (service_time_by_class_.size() < max_work_classes) {
        service_time_by_class_.emplace(work_class, service_time{static_cast<double>(sample.count()), 0});
    }
}

admission_change admission_queue::fill_free_slots(steady_time now) {
    admission_change change;
    change.dropped = remove_overdue(now);
    while (has_free_slot() && !queue_.empty()) {
        const std::size_t next = takes_turns() ? order_of_turns(now).front() : queue_.size() - 1;
        const queued_request entry = remove_at(next);
        running_.emplace(entry.ticket, running_request{now, entry.work_class, entry.account});
        change.admitted.push_back(entry.ticket);
    }
    return change;
}

}  // namespace teaselpitch
