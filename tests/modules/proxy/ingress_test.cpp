#include "modules/proxy/ingress.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

#include "exchange_fakes.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// Chooses the targets t1, t2 and t3 in this order. Attempt N fails with the N-th scripted error; attempts
/// after the script succeed.
struct scripted_fleet {
    manual_time_source clock;
    std::vector<error_kind> script;
    std::vector<std::string> bodies;
    std::vector<std::string> targets;
    std::chrono::milliseconds attempt_time{1};
    bool non_idempotent = true;
    bool read_before_failing = true;
    bool failures_carry_load = false;  ///< As they do when the gate reported them.
    std::vector<std::string> reported_attempts;

    ingress_hooks hooks() {
        ingress_hooks result;
        result.find_route = [this](const request_head& head) -> std::optional<route_decision> {
            if (head.path == "/none") {
                return std::nullopt;
            }
            return route_decision{"contratos", non_idempotent, 100ms};
        };
        result.admit = [](const request_head&) { return refusal{}; };
        result.choose = [](const request_head&, std::span<const std::string> tried) {
            choice_or_refusal<route_choice> chosen;
            if (tried.size() == 3) {
                chosen.refused = {error_kind::no_target, "all targets were tried", std::nullopt};
            } else {
                chosen.choice = route_choice{
                    {"t" + std::to_string(tried.size() + 1), 1}, "n1", true, {}, "test", nullptr};
            }
            return chosen;
        };
        result.dispatch = [this](const route_choice& choice, const request_head& head, body_reader& body,
                                 response_writer& writer) { return answer(choice, head, body, writer); };
        result.may_retry = [](const request_head& head, const exchange_result& failed, std::uint32_t) {
            return failed.execution == execution_state::not_run || !head.non_idempotent;
        };
        result.attempt_ended = [](const attempt_report&) {};
        result.exchange_ended = [this](const ingress_report& report) {
            reported_attempts.assign(report.attempts.begin(), report.attempts.end());
        };
        return result;
    }

    awaitable<exchange_result> answer(const route_choice& choice, const request_head&, body_reader& body,
                                      response_writer& writer) {
        const std::size_t attempt = targets.size();
        targets.push_back(choice.target.name);
        clock.advance(attempt_time);
        const bool fails = attempt < script.size() && script[attempt] != error_kind::none;
        if (fails && !read_before_failing) {
            co_return failed_exchange(script[attempt], "scripted");
        }
        bodies.push_back(co_await read_all(body));
        if (fails) {
            exchange_result failure = failed_exchange(script[attempt], "scripted");
            if (failures_carry_load) {
                failure.load = load_report{.target = choice.target.name};
            }
            co_return failure;
        }
        response_head head;
        head.status = 200;
        (void)co_await writer.write_head(head);
        (void)co_await writer.finish();
        co_return exchange_result{};
    }
};

/// Time limit of an attempt, depending on the time until the node stops.
struct stop_case {
    std::string name;
    std::optional<std::chrono::milliseconds>
        time_until_stop;  ///< Time until the node stops; empty while it is not stopping.
    std::chrono::milliseconds attempt_time;
};

std::ostream& operator<<(std::ostream& out, const stop_case& value) {
    return out << value.name;
}

const std::vector<stop_case> stop_cases{
    {"running node", std::nullopt, 100ms},
    {"node that stops after the route's timeout", 1000ms, 100ms},
    {"node that stops before the route's timeout", 30ms, 30ms},
};

request_head caller_request(const manual_time_source& clock) {
    request_head head;
    head.method = "POST";
    head.path = "/deposits";
    head.has_body = true;
    head.deadline = clock.now() + 1h;
    return head;
}

struct retry_case {
    std::string name;
    std::vector<error_kind> script;
    bool non_idempotent;
    error_kind expected;
    std::size_t attempts;
};

std::ostream& operator<<(std::ostream& out, const retry_case& value) {
    return out << value.name;
}

const std::vector<retry_case> retry_cases{
    {"first attempt succeeds", {}, true, error_kind::none, 1},
    {"not-run is retried at another target", {error_kind::overloaded}, true, error_kind::none, 2},
    {"unknown outcome of a non-idempotent request",
     {error_kind::outcome_unknown},
     true,
     error_kind::outcome_unknown,
     1},
    {"unknown outcome of an idempotent request", {error_kind::outcome_unknown}, false, error_kind::none, 2},
    {"not-run then unknown",
     {error_kind::peer_unreachable, error_kind::target_timeout},
     true,
     error_kind::target_timeout,
     2},
    {"unknown outcome remains unknown after a later not-run",
     {error_kind::outcome_unknown, error_kind::peer_unreachable, error_kind::peer_unreachable},
     false,
     error_kind::outcome_unknown,
     3},
    {"last error is reported when no target is left",
     {error_kind::overloaded, error_kind::overloaded, error_kind::target_leaving},
     true,
     error_kind::target_leaving,
     3},
};

/// What becomes of the token of a request's account.
struct quota_case {
    std::string name;
    account_quota quota;
    error_kind refused;  ///< Result of the quota check.
    std::vector<error_kind> script;
    error_kind expected;
    std::size_t checks;
    std::size_t returned;
};

std::ostream& operator<<(std::ostream& out, const quota_case& value) {
    return out << value.name;
}

constexpr account_quota limited{86, 86};
constexpr error_kind none = error_kind::none;

const std::vector<quota_case> quota_cases{
    {"no quota", {}, none, {}, none, 0, 0},
    {"run", limited, none, {}, none, 1, 0},
    {"run after a refusal by a gate", limited, none, {error_kind::overloaded}, none, 1, 0},
    {"refused by all gates",
     limited,
     none,
     {error_kind::overloaded, error_kind::overloaded, error_kind::overloaded},
     error_kind::overloaded,
     1,
     1},
    {"unknown outcome", limited, none, {error_kind::outcome_unknown}, error_kind::outcome_unknown, 1, 0},
    {"over the quota", limited, error_kind::account_limited, {}, error_kind::account_limited, 1, 0},
};

/// Attempts that are marked as retries: those after an attempt that reached a target.
struct retry_marking_case {
    std::string name;
    std::vector<error_kind> script;
    std::vector<bool> marked;
    bool gate_answered = false;  ///< The failures were reported by the gate of the target.
};

std::ostream& operator<<(std::ostream& out, const retry_marking_case& value) {
    return out << value.name;
}

const std::vector<retry_marking_case> retry_marking_cases{
    {"first send", {}, {false}},
    {"after a gate's refusal", {error_kind::overloaded}, {false, false}},
    {"after an unreachable node", {error_kind::peer_unreachable}, {false, false}},
    {"after a target that its gate cannot reach", {error_kind::peer_unreachable}, {false, true}, true},
    {"after a refusal by the queue of a gate", {error_kind::overloaded}, {false, false}, true},
    {"after a target's refusal", {error_kind::target_refused}, {false, true}},
    {"after an unknown outcome", {error_kind::outcome_unknown}, {false, true}},
    {"after a gate's refusal that follows a target's refusal",
     {error_kind::target_refused, error_kind::retry_limited},
     {false, true, true}},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ingress_exchange)

// Guards against retries that are not counted in the fleet's retry budget, and against first sends that are.
BOOST_DATA_TEST_CASE(sends_after_reaching_a_target_are_retries,
                     boost::unit_test::data::make(retry_marking_cases), row) {
    scripted_fleet fleet;
    fleet.script = row.script;
    fleet.failures_carry_load = row.gate_answered;
    fleet.non_idempotent = false;
    ingress_hooks hooks = fleet.hooks();
    std::vector<bool> marked;
    hooks.dispatch = [&](const route_choice& choice, const request_head& head, body_reader& body,
                         response_writer& writer) {
        marked.push_back(head.is_retry);
        return fleet.answer(choice, head, body, writer);
    };
    ingress entry(fleet.clock, {}, hooks);
    chunked_text_body body("x");
    recording_writer answer;
    run_until_complete(entry.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST(marked == row.marked, boost::test_tools::per_element());
}

// Guards against requests that pass without a token, and against tokens that are lost or returned although a
// target may have run the request.
BOOST_DATA_TEST_CASE(tokens_of_requests_that_did_not_run_are_returned,
                     boost::unit_test::data::make(quota_cases), row) {
    scripted_fleet fleet;
    fleet.script = row.script;
    ingress_hooks hooks = fleet.hooks();
    std::size_t checks = 0;
    std::size_t returned = 0;
    hooks.quota_of = [&](const request_head&) { return row.quota; };
    hooks.admit_account = [&](const request_head&, const account_quota&) -> awaitable<quota_admission> {
        ++checks;
        co_return quota_admission{{row.refused, "", 250ms}, steady_time{7s}};
    };
    hooks.return_token = [&](const request_head&, steady_time expires_at) {
        returned += expires_at == steady_time{7s} ? 1 : 0;
    };
    ingress entry(fleet.clock, {}, hooks);
    request_head head = caller_request(fleet.clock);
    head.account = "pulo780";
    chunked_text_body body("x");
    recording_writer answer;
    const exchange_result result = run_until_complete(entry.exchange(head, body, answer));
    BOOST_TEST((result.error == row.expected));
    BOOST_TEST(checks == row.checks);
    BOOST_TEST(returned == row.returned);
    BOOST_TEST(fleet.targets.empty() == (row.refused != error_kind::none));
}

// Guards against a request that still waits in a queue when its stopping node is killed, and so gets no
// answer.
BOOST_DATA_TEST_CASE(stopping_node_limits_the_deadline, boost::unit_test::data::make(stop_cases), row) {
    scripted_fleet fleet;
    ingress_hooks hooks = fleet.hooks();
    const steady_time start = fleet.clock.now();
    hooks.answer_deadline = [&]() -> std::optional<steady_time> {
        return row.time_until_stop ? std::optional<steady_time>(start + *row.time_until_stop) : std::nullopt;
    };
    std::vector<steady_time> deadlines;
    hooks.dispatch = [&](const route_choice& choice, const request_head& head, body_reader& body,
                         response_writer& writer) {
        deadlines.push_back(head.deadline);
        return fleet.answer(choice, head, body, writer);
    };
    ingress entry(fleet.clock, {}, hooks);
    chunked_text_body body("x");
    recording_writer answer;
    run_until_complete(entry.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST(deadlines.size() == 1U);
    BOOST_TEST((deadlines.at(0) == start + row.attempt_time));
}

// Guards against a request that a stopping node accepts although it cannot finish it: its body is not read,
// no target gets it, and the caller is told when to come back.
BOOST_AUTO_TEST_CASE(stopping_node_refuses_what_it_cannot_finish) {
    scripted_fleet fleet;
    ingress_hooks hooks = fleet.hooks();
    std::optional<steady_time> checked_deadline;
    hooks.admit_while_stopping = [&](const request_head& head) {
        checked_deadline = head.deadline;
        return refusal{error_kind::node_draining, "stopping", 2500ms};
    };
    ingress entry(fleet.clock, {}, hooks);
    chunked_text_body body("a deposit of 40 reais");
    recording_writer answer;
    const exchange_result result =
        run_until_complete(entry.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::node_draining));
    BOOST_TEST((result.execution == execution_state::not_run));
    BOOST_TEST((result.retry_after == std::optional<std::chrono::milliseconds>(2500ms)));
    BOOST_TEST((checked_deadline == fleet.clock.now() + 100ms));
    BOOST_TEST(fleet.targets.empty());
    BOOST_TEST(body.consumed() == 0U);
}

// Guards against a second run of a non-idempotent request, and against a missing retry when the retry is
// safe.
BOOST_DATA_TEST_CASE(retries_only_when_safe, boost::unit_test::data::make(retry_cases), sample) {
    scripted_fleet fleet;
    fleet.script = sample.script;
    fleet.non_idempotent = sample.non_idempotent;
    ingress handler(fleet.clock, {}, fleet.hooks());
    chunked_text_body body("a deposit of 40 reais");
    recording_writer answer;
    const exchange_result result =
        run_until_complete(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST(get_error_answer(result.error).name == get_error_answer(sample.expected).name);
    BOOST_TEST(fleet.targets.size() == sample.attempts);
    BOOST_TEST(fleet.reported_attempts.size() == sample.attempts);
    BOOST_TEST(answer.finished() == (sample.expected == error_kind::none));
    for (const std::string& seen : fleet.bodies) {
        BOOST_TEST(seen == "a deposit of 40 reais");
    }
}

// Guards against a retry that sends a body without the bytes that an earlier attempt consumed.
BOOST_AUTO_TEST_CASE(consumed_large_body_is_not_retried) {
    scripted_fleet fleet;
    fleet.script = {error_kind::overloaded};
    ingress_options options;
    options.replay_bytes = 8;
    ingress handler(fleet.clock, options, fleet.hooks());
    chunked_text_body body("longer than eight bytes");
    recording_writer answer;
    const exchange_result result =
        run_until_complete(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::overloaded));
    BOOST_TEST(fleet.targets.size() == 1U);
}

// Guards against a missing retry of a large upload that was refused before its body was read.
BOOST_AUTO_TEST_CASE(unread_large_body_is_retried_whole) {
    scripted_fleet fleet;
    fleet.script = {error_kind::overloaded};
    fleet.read_before_failing = false;
    ingress_options options;
    options.replay_bytes = 8;
    ingress handler(fleet.clock, options, fleet.hooks());
    chunked_text_body body("longer than eight bytes");
    recording_writer answer;
    const exchange_result result =
        run_until_complete(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::none));
    BOOST_REQUIRE_EQUAL(fleet.bodies.size(), 1U);
    BOOST_TEST(fleet.bodies[0] == "longer than eight bytes");
}

// Guards against attempts after the deadline that the route's timeout sets.
BOOST_AUTO_TEST_CASE(deadline_ends_the_attempts) {
    scripted_fleet fleet;
    fleet.script = {error_kind::overloaded, error_kind::overloaded, error_kind::overloaded};
    fleet.attempt_time = 60ms;
    ingress handler(fleet.clock, {}, fleet.hooks());
    chunked_text_body body("x");
    recording_writer answer;
    const exchange_result result =
        run_until_complete(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::overloaded));
    BOOST_TEST(fleet.targets.size() == 2U);
}

// Guards against equal fingerprints of requests that differ in one field.
BOOST_AUTO_TEST_CASE(fingerprint_covers_each_field) {
    request_head head;
    head.service = "claims";
    head.method = "POST";
    head.path = "/claims";
    head.account = "7";
    const std::byte body[]{std::byte{1}, std::byte{2}};
    const std::uint64_t base = request_fingerprint(head, body);
    BOOST_TEST(base == request_fingerprint(head, body));
    BOOST_TEST(base != request_fingerprint(head, std::span(body).first(1)));
    for (std::string request_head::*field :
         {&request_head::service, &request_head::method, &request_head::path, &request_head::account}) {
        request_head other = head;
        other.*field += "x";
        BOOST_TEST(base != request_fingerprint(other, body));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
