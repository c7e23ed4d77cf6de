#include <algorithm>
#include <memory>
#include <utility>

#include "main/bench_health/fleet.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds call_deadline{1'000};
constexpr std::chrono::milliseconds connect_timeout{300};  // Equal to the ping deadline of peer connections.
constexpr std::chrono::milliseconds max_queue_time{200};
// The fault counts as detected after a gap of this length without requests beyond trial traffic.
constexpr std::chrono::milliseconds detection_gap{1'500};
// Largest share that counts as trial traffic; it includes the second step of a trial.
constexpr double max_trial_share = 0.05;
constexpr std::uint64_t crashing_fingerprint = 0xdead;
constexpr std::uint64_t common_fingerprints = 200;

}  // namespace

void fleet::generate_request() {
    const double rate = options_.requests_per_s * static_cast<double>(options_.targets);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    events_.schedule_after(std::chrono::nanoseconds(static_cast<std::int64_t>(gap * 1e9)),
                           [this] { generate_request(); });
    auto request_call = std::make_shared<call>();
    const bool common = random_() % 5 != 0;
    request_call->fingerprint = common ? random_() % common_fingerprints : random_();
    request_call->non_idempotent = random_() % 5 == 0;
    request_call->node = random_() % options_.targets;
    request_call->deadline = clock_.now() + call_deadline;
    ++result_.requests;
    attempt(request_call);
}

void fleet::send_crashing_request() {
    auto request_call = std::make_shared<call>();
    request_call->fingerprint = crashing_fingerprint;
    request_call->crashes_target = true;
    request_call->node = random_() % options_.targets;
    request_call->deadline = clock_.now() + call_deadline;
    attempt(request_call);
}

void fleet::attempt(const call_ptr& request_call) {
    ++request_call->attempts;
    const std::optional<std::size_t> chosen = choose(*request_call);
    if (!chosen) {
        finish(*request_call, false);
        return;
    }
    const std::size_t target = *chosen;
    record_full_share_request(target, request_call->node);
    const bool local = request_call->node == target;
    if (!local && !faults_.connects(nodes_[request_call->node].zone, target, zone_of(target))) {
        events_.schedule_after(connect_timeout, [this, request_call, target] {
            record_bad_answer(target, true);
            node& from = nodes_[request_call->node];
            from.paths->on_result(registered_targets_[target].identity.name, registered_targets_[target].node,
                                  next_connection_++, path_outcome::unreachable);
            const double outlier_score = from.paths->node_outlier_score(registered_targets_[target].node);
            apply_decisions(request_call->node, from.target_ejector->on_node_path_evidence(
                                                    registered_targets_[target].node, outlier_score));
            handle_failed_attempt(request_call, {.error = error_kind::peer_unreachable,
                                                 .execution = execution_state::not_run,
                                                 .good = false});
        });
        return;
    }
    events_.schedule_after(delay(request_call->node, target),
                           [this, request_call, target] { admit(request_call, target); });
}

std::optional<std::size_t> fleet::choose(call& request_call) {
    std::string name;
    if (options_.baseline) {
        name = baseline_.choose_target()->name;
    } else {
        target_choice made = nodes_[request_call.node].chooser->choose(request_call.excluded);
        if (!made.target) {
            return std::nullopt;
        }
        name = made.target->target().name;
        request_call.reserved_target = std::move(made.target);
    }
    request_call.excluded.push_back(name);
    return std::stoul(name.substr(1));
}

void fleet::admit(const call_ptr& request_call, std::size_t target) {
    gate& own = gates_[target];
    own.announcer->on_request(nodes_[request_call->node].name);
    if (!options_.baseline && nodes_[target].quarantine->is_quarantined(request_call->fingerprint)) {
        result_.quarantined += request_call->crashes_target ? 0 : 1;
        answer(request_call, target,
               {.error = error_kind::quarantined, .execution = execution_state::not_run, .good = false});
    } else if (own.running.size() < options_.slots) {
        start(request_call, target);
    } else if (own.waiting.size() < options_.slots) {
        own.waiting.push_back({.request_call = request_call, .since = clock_.now()});
    } else {
        answer(request_call, target,
               {.error = error_kind::overloaded, .execution = execution_state::not_run, .good = false});
    }
}

void fleet::start(const call_ptr& request_call, std::size_t target) {
    gate& own = gates_[target];
    const std::uint64_t request = own.next_request++;
    running_call run{
        .request_call = request_call, .sample = faults_.sample(target), .started_at = clock_.now()};
    own.outlier_detector->on_request_start(request);
    if (run.sample.hangs) {
        record_bad_answer(target, true);
    }
    const auto left = request_call->deadline - clock_.now();
    const bool late = run.sample.hangs || run.sample.time > left;
    const auto time = request_call->crashes_target ? std::chrono::nanoseconds(5ms)
                      : late                       ? left
                                                   : run.sample.time;
    own.running.emplace(request, std::move(run));
    events_.schedule_after(time, [this, target, request] { end_request(target, request); });
}

void fleet::end_request(std::size_t target, std::uint64_t request) {
    gate& own = gates_[target];
    const auto found = own.running.find(request);
    if (found == own.running.end()) {
        return;  // A crash has already ended this request.
    }
    if (found->second.request_call->crashes_target) {
        crash_target(target, request);
        return;
    }
    const running_call run = std::move(found->second);
    own.running.erase(found);
    const auto elapsed = clock_.now() - run.started_at;
    reply result{.by_fault = run.sample.by_fault};
    if (clock_.now() >= run.request_call->deadline) {
        own.outlier_detector->on_request_end(request, request_outcome::timeout, elapsed);
        result = {.error = error_kind::target_timeout,
                  .execution = execution_state::unknown,
                  .good = false,
                  .by_fault = run.sample.by_fault};
    } else {
        own.outlier_detector->on_request_end(
            request, run.sample.fails ? request_outcome::failure : request_outcome::success, elapsed);
        result.good = !run.sample.fails;
        if (result.good) {
            nodes_[target].quarantine->on_success(run.request_call->fingerprint);
        }
    }
    announce_verdict(target);
    answer(run.request_call, target, result);
    start_waiting_calls(target);
}

// The target restarts immediately. All requests that it was running end with an unknown outcome.
void fleet::crash_target(std::size_t target, std::uint64_t cause) {
    gate& own = gates_[target];
    const auto broken = std::move(own.running);
    own.running.clear();
    const target_identity identity{registered_targets_[target].identity.name, own.incarnation++};
    for (const auto& [request, run] : broken) {
        own.outlier_detector->on_request_end(request, request_outcome::crash, clock_.now() - run.started_at,
                                             run.request_call->fingerprint);
        report_crash(target, {.fingerprint = run.request_call->fingerprint, .target = identity});
        answer(run.request_call, target,
               {.error = error_kind::outcome_unknown,
                .execution = execution_state::unknown,
                .good = false,
                .by_fault = request == cause});
    }
    start_waiting_calls(target);
}

void fleet::start_waiting_calls(std::size_t target) {
    gate& own = gates_[target];
    while (!own.waiting.empty() && own.running.size() < options_.slots) {
        const waiting_call next = std::move(own.waiting.front());
        own.waiting.pop_front();
        if (clock_.now() >= next.request_call->deadline || clock_.now() - next.since > max_queue_time) {
            answer(next.request_call, target,
                   {.error = error_kind::overloaded, .execution = execution_state::not_run, .good = false});
        } else {
            start(next.request_call, target);
        }
    }
}

void fleet::answer(const call_ptr& request_call, std::size_t target, reply result) {
    result.load = make_load_report(target);
    events_.schedule_after(delay(target, request_call->node), [this, request_call, target, result] {
        handle_answer(request_call, target, result);
    });
}

void fleet::handle_answer(const call_ptr& request_call, std::size_t target, const reply& result) {
    node& from = nodes_[request_call->node];
    from.paths->on_result(registered_targets_[target].identity.name, registered_targets_[target].node, 0,
                          path_outcome::answered);
    from.chooser->on_load_report(result.load);
    apply_decisions(request_call->node, from.target_ejector->on_gate_verdict(
                                            result.load.target, result.load.outlier_score, true));
    record_bad_answer(target, result.by_fault);
    if (result.error != error_kind::none) {
        handle_failed_attempt(request_call, result);
        return;
    }
    if (result.good) {
        from.retries->on_success();
        from.quarantine->on_success(request_call->fingerprint);
    }
    finish(*request_call, result.good);
}

void fleet::handle_failed_attempt(const call_ptr& request_call, const reply& result) {
    const failed_attempt attempt_made{.error = result.error,
                                      .execution = result.execution,
                                      .non_idempotent = request_call->non_idempotent,
                                      .attempts = request_call->attempts,
                                      .deadline = request_call->deadline};
    request_call->reserved_target.reset();
    const bool should_retry = options_.baseline
                                  ? baseline_policy::should_retry(attempt_made)
                                  : nodes_[request_call->node].retries->on_failure(attempt_made).retry;
    if (should_retry && clock_.now() < request_call->deadline) {
        attempt(request_call);
    } else {
        finish(*request_call, false);
    }
}

void fleet::finish(const call& request_call, bool good) {
    if (request_call.crashes_target) {
        return;
    }
    result_.good += good ? 1 : 0;
    if (faults_.active()) {
        ++(good ? result_.good_after_fault : result_.bad_after_fault);
    }
}

void fleet::record_bad_answer(std::size_t target, bool by_fault) {
    if (by_fault && target == fault_model::faulty_target && first_bad_at_ == steady_time{}) {
        first_bad_at_ = last_full_share_request_at_ = clock_.now();
    }
}

// Records the time of the last request beyond trial traffic. Detection is complete after a gap without any.
void fleet::record_full_share_request(std::size_t target, std::size_t from) {
    if (first_bad_at_ == steady_time{} || detected_) {
        return;
    }
    if (clock_.now() - last_full_share_request_at_ > detection_gap) {
        detected_ = true;
        result_.detection = last_full_share_request_at_ - first_bad_at_;
        return;
    }
    const bool concerned =
        options_.fault != fault_kind::partially_reachable || is_ejection_justified(from, target);
    if (target != fault_model::faulty_target || !concerned) {
        return;
    }
    const std::vector<target_share> shares = nodes_[from].target_ejector->shares();
    if (options_.baseline || shares[target].share > max_trial_share) {
        last_full_share_request_at_ = clock_.now();
    }
}

}  // namespace teaselpitch
