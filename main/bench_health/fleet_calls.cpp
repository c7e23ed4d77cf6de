#include <algorithm>
#include <memory>
#include <utility>

#include "main/bench_health/fleet.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds call_deadline{1'000};
constexpr std::chrono::milliseconds connect_timeout{300};  // The ping deadline of peer connections.
constexpr std::chrono::milliseconds longest_queue_time{200};
constexpr std::chrono::milliseconds undetected_gap{1'500};  // Ends the timing of one detection.
constexpr double trial_share = 0.05;  // The second step of a trial still counts as trial traffic.
constexpr std::uint64_t poison_fingerprint = 0xdead;
constexpr std::uint64_t common_fingerprints = 200;

}  // namespace

void fleet::arrive() {
    const double rate = options_.requests_per_s * static_cast<double>(options_.targets);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    events_.after(std::chrono::nanoseconds(static_cast<std::int64_t>(gap * 1e9)), [this] { arrive(); });
    auto subject = std::make_shared<call>();
    const bool common = random_() % 5 != 0;
    subject->fingerprint = common ? random_() % common_fingerprints : random_();
    subject->non_idempotent = random_() % 5 == 0;
    subject->node = random_() % options_.targets;
    subject->deadline = clock_.now() + call_deadline;
    ++result_.requests;
    attempt(subject);
}

void fleet::send_poison() {
    auto subject = std::make_shared<call>();
    subject->fingerprint = poison_fingerprint;
    subject->poison = true;
    subject->node = random_() % options_.targets;
    subject->deadline = clock_.now() + call_deadline;
    attempt(subject);
}

void fleet::attempt(const call_ptr& subject) {
    ++subject->attempts;
    const std::optional<std::size_t> chosen = choose(*subject);
    if (!chosen) {
        finish(*subject, false);
        return;
    }
    const std::size_t target = *chosen;
    note_full_share(target, subject->node);
    const bool local = subject->node == target;
    if (!local && !faults_.connects(nodes_[subject->node].zone, target, zone_of(target))) {
        events_.after(connect_timeout, [this, subject, target] {
            note_bad_answer(target, true);
            node& from = nodes_[subject->node];
            from.paths->on_result(registered_[target].identity.name, registered_[target].node,
                                  next_connection_++, path_outcome::unreachable);
            const double badness = from.paths->node_outlier_score(registered_[target].node);
            take(subject->node, from.views->on_node_path_evidence(registered_[target].node, badness));
            failed(subject, {.error = error_kind::peer_unreachable,
                             .execution = execution_state::not_run,
                             .good = false});
        });
        return;
    }
    events_.after(delay(subject->node, target), [this, subject, target] { admit(subject, target); });
}

std::optional<std::size_t> fleet::choose(call& subject) {
    std::string name;
    if (options_.baseline) {
        name = baseline_.choose_target()->name;
    } else {
        target_choice made = nodes_[subject.node].chooser->choose(subject.excluded);
        if (!made.target) {
            return std::nullopt;
        }
        name = made.target->target().name;
        subject.held = std::move(made.target);
    }
    subject.excluded.push_back(name);
    return std::stoul(name.substr(1));
}

void fleet::admit(const call_ptr& subject, std::size_t target) {
    gate& own = gates_[target];
    own.announcer->on_request(nodes_[subject->node].name);
    if (!options_.baseline && nodes_[target].quarantine->is_quarantined(subject->fingerprint)) {
        result_.quarantined += subject->poison ? 0 : 1;
        answer(subject, target,
               {.error = error_kind::quarantined, .execution = execution_state::not_run, .good = false});
    } else if (own.running.size() < options_.slots) {
        start(subject, target);
    } else if (own.waiting.size() < options_.slots) {
        own.waiting.push_back({.subject = subject, .since = clock_.now()});
    } else {
        answer(subject, target,
               {.error = error_kind::overloaded, .execution = execution_state::not_run, .good = false});
    }
}

void fleet::start(const call_ptr& subject, std::size_t target) {
    gate& own = gates_[target];
    const std::uint64_t request = own.next_request++;
    running_call run{.subject = subject, .sample = faults_.sample(target), .started_at = clock_.now()};
    own.judge->on_request_start(request);
    if (run.sample.hangs) {
        note_bad_answer(target, true);
    }
    const auto left = subject->deadline - clock_.now();
    const bool late = run.sample.hangs || run.sample.time > left;
    const auto time = subject->poison ? std::chrono::nanoseconds(5ms) : late ? left : run.sample.time;
    own.running.emplace(request, std::move(run));
    events_.after(time, [this, target, request] { end(target, request); });
}

void fleet::end(std::size_t target, std::uint64_t request) {
    gate& own = gates_[target];
    const auto found = own.running.find(request);
    if (found == own.running.end()) {
        return;  // A crash broke it before.
    }
    if (found->second.subject->poison) {
        crash(target, request);
        return;
    }
    const running_call run = std::move(found->second);
    own.running.erase(found);
    const auto took = clock_.now() - run.started_at;
    reply result{.by_fault = run.sample.by_fault};
    if (clock_.now() >= run.subject->deadline) {
        own.judge->on_request_end(request, request_outcome::timeout, took);
        result = {.error = error_kind::target_timeout,
                  .execution = execution_state::unknown,
                  .good = false,
                  .by_fault = run.sample.by_fault};
    } else {
        own.judge->on_request_end(
            request, run.sample.fails ? request_outcome::failure : request_outcome::success, took);
        result.good = !run.sample.fails;
        if (result.good) {
            nodes_[target].quarantine->on_success(run.subject->fingerprint);
        }
    }
    announce_verdict(target);
    answer(run.subject, target, result);
    start_waiting(target);
}

// The target restarts at once; every request in flight is broken.
void fleet::crash(std::size_t target, std::uint64_t cause) {
    gate& own = gates_[target];
    const auto broken = std::move(own.running);
    own.running.clear();
    const target_identity identity{registered_[target].identity.name, own.incarnation++};
    for (const auto& [request, run] : broken) {
        own.judge->on_request_end(request, request_outcome::crash, clock_.now() - run.started_at,
                                  run.subject->fingerprint);
        report_crash(target, {.fingerprint = run.subject->fingerprint, .target = identity});
        answer(run.subject, target,
               {.error = error_kind::outcome_unknown,
                .execution = execution_state::unknown,
                .good = false,
                .by_fault = request == cause});
    }
    start_waiting(target);
}

void fleet::start_waiting(std::size_t target) {
    gate& own = gates_[target];
    while (!own.waiting.empty() && own.running.size() < options_.slots) {
        const waiting_call next = std::move(own.waiting.front());
        own.waiting.pop_front();
        if (clock_.now() >= next.subject->deadline || clock_.now() - next.since > longest_queue_time) {
            answer(next.subject, target,
                   {.error = error_kind::overloaded, .execution = execution_state::not_run, .good = false});
        } else {
            start(next.subject, target);
        }
    }
}

void fleet::answer(const call_ptr& subject, std::size_t target, reply result) {
    result.load = report_of(target);
    events_.after(delay(target, subject->node),
                  [this, subject, target, result] { received(subject, target, result); });
}

void fleet::received(const call_ptr& subject, std::size_t target, const reply& result) {
    node& from = nodes_[subject->node];
    from.paths->on_result(registered_[target].identity.name, registered_[target].node, 0,
                          path_outcome::answered);
    from.chooser->on_load_report(result.load);
    take(subject->node, from.views->on_gate_verdict(result.load.target, result.load.outlier_score, true));
    note_bad_answer(target, result.by_fault);
    if (result.error != error_kind::none) {
        failed(subject, result);
        return;
    }
    if (result.good) {
        from.retries->on_success();
        from.quarantine->on_success(subject->fingerprint);
    }
    finish(*subject, result.good);
}

void fleet::failed(const call_ptr& subject, const reply& result) {
    const failed_attempt attempt_made{.error = result.error,
                                      .execution = result.execution,
                                      .non_idempotent = subject->non_idempotent,
                                      .attempts = subject->attempts,
                                      .deadline = subject->deadline};
    subject->held.reset();
    const bool again = options_.baseline ? baseline_policy::should_retry(attempt_made)
                                         : nodes_[subject->node].retries->on_failure(attempt_made).retry;
    if (again && clock_.now() < subject->deadline) {
        attempt(subject);
    } else {
        finish(*subject, false);
    }
}

void fleet::finish(const call& subject, bool good) {
    if (subject.poison) {
        return;
    }
    result_.good += good ? 1 : 0;
    if (faults_.active()) {
        ++(good ? result_.good_after_fault : result_.bad_after_fault);
    }
}

void fleet::note_bad_answer(std::size_t target, bool by_fault) {
    if (by_fault && target == fault_model::faulty_target && first_bad_at_ == steady_time{}) {
        first_bad_at_ = last_full_share_at_ = clock_.now();
    }
}

// Remembers the last request that was not trial traffic; a gap without any ends the timing.
void fleet::note_full_share(std::size_t target, std::size_t from) {
    if (first_bad_at_ == steady_time{} || detected_) {
        return;
    }
    if (clock_.now() - last_full_share_at_ > undetected_gap) {
        detected_ = true;
        result_.detection = last_full_share_at_ - first_bad_at_;
        return;
    }
    const bool concerned = options_.fault != fault_kind::partially_reachable || cut_off(from, target);
    if (target != fault_model::faulty_target || !concerned) {
        return;
    }
    const std::vector<target_share> shares = nodes_[from].views->shares();
    if (options_.baseline || shares[target].share > trial_share) {
        last_full_share_at_ = clock_.now();
    }
}

}  // namespace teaselpitch
