#include "modules/node/target_manager.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr unsigned first_server_error = 500;

request_outcome outcome_of(const exchange_result& result, unsigned http_status) {
    if (result.target_crashed) {
        return request_outcome::crash;
    }
    switch (result.error) {
        case error_kind::none:
            return http_status >= first_server_error ? request_outcome::failure : request_outcome::success;
        case error_kind::target_timeout:
            return request_outcome::timeout;
        case error_kind::cancelled:
        case error_kind::slot_moving:
        case error_kind::deadline_expired:
        case error_kind::body_too_large:
        case error_kind::malformed_request:
        case error_kind::target_refused:
        case error_kind::caller_too_slow:
            return request_outcome::cancelled;
        default:
            return request_outcome::failure;
    }
}

}  // namespace

managed_target::managed_target(const time_source& clock, const announcement& first,
                               const admission_options& admission, const outlier_detection_options& detection,
                               const std::optional<fleet_retry_budget_options>& retry_budget,
                               work_estimator* estimator, const slot_loan_options& loan_options)
    : guarded_(clock, first.identity, first.service, first.address, admission, estimator, loan_options),
      outlier_detector_(clock, first.identity.name, detection),
      failures_(clock, failure_filter_options{}) {
    if (retry_budget) {
        retry_budget_.emplace(clock, *retry_budget);
    }
}

void managed_target::count_run(bool started, bool is_retry) {
    const std::int32_t step = started ? 1 : -1;
    runs_.fetch_add(step, std::memory_order_relaxed);
    retry_runs_.fetch_add(is_retry ? step : 0, std::memory_order_relaxed);
}

double managed_target::retry_share() const {
    const std::int32_t runs = runs_.load(std::memory_order_relaxed);
    const std::int32_t retries = retry_runs_.load(std::memory_order_relaxed);
    return runs <= 0 ? 0.0 : std::clamp(static_cast<double>(retries) / runs, 0.0, 1.0);
}

target_manager::target_manager(const time_source& clock, target_manager_hooks hooks, decision_log& decisions,
                               std::chrono::milliseconds renewal_limit,
                               std::optional<fleet_retry_budget_options> retry_budget,
                               work_estimator* estimator, const slot_loan_options& loan_options)
    : clock_(clock),
      hooks_(std::move(hooks)),
      renewal_limit_(renewal_limit),
      retry_budget_(retry_budget),
      estimator_(estimator),
      loan_options_(loan_options),
      crashes_(clock, decisions, hooks_.target_crashed),
      targets_(std::make_shared<const target_map>()) {}

absl::Status target_manager::on_announcement(const announcement& message) {
    const bool leaves = message.state == target_lifecycle::leaving;
    const bool departed = has_departed(message.identity);
    if (departed && !leaves) {
        return absl::FailedPreconditionError(
            "this incarnation of the target has left; only a later incarnation can be announced");
    }
    const auto known = entries_.find(message.identity.name);
    if (known == entries_.end()) {
        if (departed) {
            return absl::OkStatus();
        }
        if (absl::Status room = replace_target_at(message); !room.ok()) {
            return room;
        }
        if (leaves) {
            record_departure(message.identity);
        }
        add_target(message);
        return absl::OkStatus();
    }
    const announcement& latest = known->second.latest;
    if (message.identity.incarnation == latest.identity.incarnation && message.sequence != 0 &&
        message.sequence <= latest.sequence) {
        return absl::FailedPreconditionError("a later announcement of the target has already been received");
    }
    if (message.identity.incarnation < latest.identity.incarnation) {
        return absl::FailedPreconditionError("a later incarnation of the target has already been announced");
    }
    const bool same_incarnation = message.identity.incarnation == latest.identity.incarnation;
    if (same_incarnation && (message.service != latest.service || message.address != latest.address)) {
        return absl::InvalidArgumentError("service and address cannot change within one incarnation");
    }
    if (same_incarnation && latest.state == target_lifecycle::leaving &&
        message.state != target_lifecycle::leaving) {
        return absl::FailedPreconditionError(
            "this incarnation of the target is leaving; only a later incarnation can become ready again");
    }
    if (leaves) {
        record_departure(message.identity);
    }
    if (!same_incarnation) {
        crashes_.on_process_ended(latest.identity);
        known->second.target->guarded().set_leaving();
        add_target(message);
        return absl::OkStatus();
    }
    update_target(known->second, message);
    return absl::OkStatus();
}

// An address belongs to only one target at a time, the one that started last. An older target at the address
// of a new one is removed.
absl::Status target_manager::replace_target_at(const announcement& message) {
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (entry->second.latest.address != message.address) {
            continue;
        }
        if (message.identity.incarnation <= entry->second.latest.identity.incarnation) {
            return absl::FailedPreconditionError("target " + entry->first +
                                                 " started later at the same address");
        }
        crashes_.on_process_ended(entry->second.latest.identity);
        entry->second.target->guarded().set_leaving();
        const managed_target_fact fact = make_target_fact(entry->second, true);
        {
            const std::lock_guard lock(mutex_);
            entries_.erase(entry);
        }
        publish_targets();
        log_event(event_level::info, "target_gone",
                  {{"target", fact.identity.name},
                   {"service", fact.service},
                   {"reason", "another target started at its address"},
                   {"successor", message.identity.name}});
        hooks_.target_changed(fact);
        break;
    }
    return absl::OkStatus();
}

void target_manager::on_departure(const target_departure& message) {
    const auto known = entries_.find(message.target);
    const std::uint64_t latest = known == entries_.end() ? 0 : known->second.latest.identity.incarnation;
    const std::uint64_t ended = message.incarnation.value_or(latest);
    record_departure({message.target, ended});
    log_event(event_level::info, "target_departs",
              {{"target", message.target}, {"incarnation", ended}, {"known", known != entries_.end()}});
    if (known == entries_.end() || latest > ended) {
        return;
    }
    announcement departing = known->second.latest;
    departing.state = target_lifecycle::leaving;
    update_target(known->second, departing);
}

bool target_manager::has_departed(const target_identity& target) const {
    const auto ended = departed_incarnations_.find(target.name);
    return ended != departed_incarnations_.end() && target.incarnation <= ended->second;
}

void target_manager::record_departure(const target_identity& target) {
    std::uint64_t& latest = departed_incarnations_[target.name];
    latest = std::max(latest, target.incarnation);
    crashes_.on_departure(target);
}

void target_manager::add_target(const announcement& message) {
    const service_admission rules = hooks_.admission_of(message.service);
    admission_options admission;
    admission.slots = message.slots;
    admission.max_wait = rules.max_wait;
    admission.fair_accounts = estimator_ != nullptr;
    auto target = std::make_shared<managed_target>(clock_, message, admission,
                                                   outlier_detection_options_for(rules.policy, message.slots),
                                                   retry_budget_, estimator_, loan_options_);
    if (message.state == target_lifecycle::leaving || leaving_) {
        target->guarded().set_leaving();
    }
    {
        const std::lock_guard lock(mutex_);
        entries_[message.identity.name] = {target, message, clock_.now(), clock_.now(),
                                           has_departed(message.identity)};
    }
    publish_targets();
    log_event(event_level::info, "target_announced",
              {{"target", message.identity.name},
               {"incarnation", message.identity.incarnation},
               {"service", message.service},
               {"slots", message.slots},
               {"state", to_string(message.state)}});
    hooks_.target_changed(make_target_fact(entries_.at(message.identity.name), false));
}

void target_manager::update_target(target_entry& entry, const announcement& message) {
    entry.renewed_at = clock_.now();
    const bool state_changed = entry.latest.state != message.state;
    const bool slots_changed = entry.latest.slots != message.slots;
    const bool departs = !entry.departed && has_departed(message.identity);
    if (!state_changed && !slots_changed && !departs) {
        entry.latest.sequence = message.sequence;
        return;
    }
    // The gate must refuse new work before any other node is notified of the change.
    if (message.state == target_lifecycle::leaving) {
        entry.target->guarded().set_leaving();
    }
    if (state_changed && message.state == target_lifecycle::ready) {
        entry.ready_since = clock_.now();
    }
    if (slots_changed) {
        entry.target->guarded().set_slots(message.slots);
    }
    {
        const std::lock_guard lock(mutex_);
        entry.latest = message;
        entry.departed = entry.departed || departs;
    }
    log_event(
        event_level::info, "target_changed",
        {{"target", message.identity.name}, {"slots", message.slots}, {"state", to_string(message.state)}});
    hooks_.target_changed(make_target_fact(entry, false));
}

void target_manager::set_target_count(std::string_view service, std::size_t targets) {
    for (auto& [name, entry] : entries_) {
        if (entry.latest.service == service && entry.target->retry_budget() != nullptr) {
            entry.target->retry_budget()->set_target_count(targets);
        }
    }
}

void target_manager::on_rules() {
    for (auto& [name, entry] : entries_) {
        entry.target->guarded().set_max_wait(hooks_.admission_of(entry.latest.service).max_wait);
    }
}

void target_manager::remove_expired_targets() {
    std::vector<managed_target_fact> gone;
    {
        const std::lock_guard lock(mutex_);
        for (auto entry = entries_.begin(); entry != entries_.end();) {
            // A target that answers requests is alive even when its announcements are delayed.
            const steady_time last_seen =
                std::max(entry->second.renewed_at, entry->second.target->last_answer_time());
            if (clock_.now() - last_seen < renewal_limit_) {
                ++entry;
                continue;
            }
            entry->second.target->guarded().set_leaving();
            gone.push_back(make_target_fact(entry->second, true));
            entry = entries_.erase(entry);
        }
    }
    if (gone.empty()) {
        return;
    }
    publish_targets();
    for (const managed_target_fact& fact : gone) {
        log_event(event_level::warning, "target_gone",
                  {{"target", fact.identity.name}, {"service", fact.service}, {"reason", "renewals missed"}});
        hooks_.target_changed(fact);
    }
}

void target_manager::set_all_leaving() {
    leaving_ = true;
    for (auto& [name, entry] : entries_) {
        entry.target->guarded().set_leaving();
        entry.latest.state = target_lifecycle::leaving;
        hooks_.target_changed(make_target_fact(entry, false));
    }
}

void target_manager::on_queue_tick() {
    const auto targets = targets_.read();
    for (const auto& [name, target] : *targets) {
        target->guarded().on_tick();
    }
}

void target_manager::on_detection_tick() {
    const auto targets = targets_.read();
    for (const auto& [name, target] : *targets) {
        target->outlier_detector().on_tick();
        target->guarded().set_outlier_score(target->outlier_detector().outlier_score());
    }
}

bool target_manager::is_suspect(const request_head& head, const guarded_target& target) {
    const auto managed = find(target.identity().name);
    if (!managed) {
        return false;
    }
    managed->guarded().set_suspect(managed->failures().is_suspect());
    return !managed->failures().try_admit(head.non_idempotent);
}

bool target_manager::has_retry_budget(const request_head& head, const guarded_target& target) const {
    const auto managed = find(target.identity().name);
    if (!managed || managed->retry_budget() == nullptr) {
        return true;
    }
    return head.is_retry ? managed->retry_budget()->has_retry_left(head.rank)
                         : managed->retry_budget()->accepts_first_arrival(head.inherited_retry_probability);
}

bool target_manager::count_arrival(const request_head& head, const guarded_target& target) {
    const auto managed = find(target.identity().name);
    if (!managed || managed->retry_budget() == nullptr) {
        return true;
    }
    if (head.is_retry) {
        return managed->retry_budget()->try_spend_retry(head.rank);
    }
    return managed->retry_budget()->try_count_first_arrival(head.inherited_retry_probability);
}

double target_manager::retry_share() const {
    double largest = 0;
    const auto targets = targets_.read();
    for (const auto& [name, target] : *targets) {
        largest = std::max(largest, target->retry_share());
    }
    return largest;
}

void target_manager::on_run_started(const gate_run& run) {
    if (const auto target = find(run.target.identity().name)) {
        target->count_run(true, run.head.is_retry);
        target->outlier_detector().on_request_start(run.ticket);
    }
}

void target_manager::on_run_ended(const gate_run_end& end) {
    const auto target = find(end.run.target.identity().name);
    if (target && &target->guarded() == &end.run.target) {
        target->count_run(false, end.run.head.is_retry);
    }
    if (target && target->guarded().identity() == end.run.target.identity()) {
        if (end.result.error == error_kind::none) {
            target->set_last_answer_time(clock_.now());
        }
        assess_run(*target, end);
    }
    crashes_.on_run_ended(end);
}

void target_manager::assess_run(managed_target& target, const gate_run_end& end) {
    const request_outcome outcome = outcome_of(end.result, end.http_status);
    if (outcome != request_outcome::success) {
        const admission_load load = target.guarded().load();
        log_event(event_level::info, "target_failure",
                  {{"request_id", end.run.head.request_id},
                   {"target", target.guarded().identity().name},
                   {"service", target.guarded().service()},
                   {"rank", end.run.head.rank},
                   {"error", get_error_answer(end.result.error).name},
                   {"status", end.http_status},
                   {"latency_ms", std::chrono::duration<double, std::milli>(end.head_latency).count()},
                   {"sick_probability", target.failures().probability()},
                   {"last_resort", end.run.head.last_resort},
                   {"running", load.running},
                   {"queued", load.queued}});
    }
    if (outcome == request_outcome::success) {
        target.failures().on_success();
    } else if (outcome != request_outcome::cancelled) {
        // A target that fails a request much faster than its mean service time did not fail because of a
        // downstream call.
        const auto mean_service_time = target.guarded().load().mean_service_time;
        target.failures().on_failure(end.head_latency < mean_service_time / 4);
    }
    target.guarded().set_suspect(target.failures().is_suspect());
    target.outlier_detector().on_request_end(end.run.ticket, outcome, end.head_latency,
                                             end.run.head.fingerprint);
    target.guarded().set_outlier_score(target.outlier_detector().outlier_score());
}

std::shared_ptr<managed_target> target_manager::find(std::string_view name) const {
    const auto targets = targets_.read();
    const auto found = targets->find(name);
    return found == targets->end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<managed_target>> target_manager::all() const {
    std::vector<std::shared_ptr<managed_target>> result;
    const auto targets = targets_.read();
    for (const auto& [name, target] : *targets) {
        result.push_back(target);
    }
    return result;
}

std::shared_ptr<managed_target> target_manager::least_loaded(std::string_view service) const {
    std::shared_ptr<managed_target> best;
    double best_load = std::numeric_limits<double>::max();
    const auto targets = targets_.read();
    for (const auto& [name, target] : *targets) {
        const admission_load load = target->guarded().load();
        if (target->guarded().service() != service || load.state != admission_state::open) {
            continue;
        }
        const double outlier_score = target->outlier_detector().outlier_score();
        // A target whose score triggers ejection is used only when there is no other.
        const double relative_load =
            static_cast<double>(load.running + load.queued) / load.slots + (outlier_score >= 1 ? 1e6 : 0);
        if (relative_load < best_load) {
            best_load = relative_load;
            best = target;
        }
    }
    return best;
}

std::vector<managed_target_fact> target_manager::facts() const {
    std::vector<managed_target_fact> result;
    const std::lock_guard lock(mutex_);
    for (const auto& [name, entry] : entries_) {
        result.push_back(make_target_fact(entry, false));
    }
    return result;
}

void target_manager::publish_targets() {
    auto next = std::make_shared<target_map>();
    for (const auto& [name, entry] : entries_) {
        next->emplace(name, entry.target);
    }
    targets_.update(std::move(next));
}

managed_target_fact target_manager::make_target_fact(const target_entry& entry, bool gone) {
    return {entry.latest.identity, entry.latest.service, entry.latest.state,
            entry.latest.slots,    entry.ready_since,    gone,
            entry.departed};
}

}  // namespace teaselpitch
