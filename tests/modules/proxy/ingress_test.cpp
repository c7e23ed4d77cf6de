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

/// Targets t1, t2, t3 in turn; attempt N fails with the N-th scripted error, later ones succeed.
struct scripted_fleet {
    manual_time_source clock;
    std::vector<error_kind> script;
    std::vector<std::string> bodies;
    std::vector<std::string> targets;
    std::chrono::milliseconds attempt_time{1};
    bool non_idempotent = true;
    bool read_before_failing = true;
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
                chosen.refused = {error_kind::no_target, "all tried", std::nullopt};
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
            co_return failed_exchange(script[attempt], "scripted");
        }
        response_head head;
        head.status = 200;
        (void)co_await writer.write_head(head);
        (void)co_await writer.finish();
        co_return exchange_result{};
    }
};

/// Time that an attempt is given, by the time that the node still has.
struct stop_case {
    std::string name;
    std::optional<std::chrono::milliseconds> node_time;  ///< Empty while the node is not stopping.
    std::chrono::milliseconds attempt_time;
};

std::ostream& operator<<(std::ostream& out, const stop_case& value) {
    return out << value.name;
}

const std::vector<stop_case> stop_cases{
    {"running node", std::nullopt, 100ms},
    {"stopping node with time", 1000ms, 100ms},
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
    {"first answer", {}, true, error_kind::none, 1},
    {"not-run is tried elsewhere", {error_kind::overloaded}, true, error_kind::none, 2},
    {"unknown outcome ends an unsafe request",
     {error_kind::outcome_unknown},
     true,
     error_kind::outcome_unknown,
     1},
    {"unknown outcome of a safe request", {error_kind::outcome_unknown}, false, error_kind::none, 2},
    {"not-run then unknown",
     {error_kind::peer_unreachable, error_kind::target_timeout},
     true,
     error_kind::target_timeout,
     2},
    {"unknown stays unknown after a later not-run",
     {error_kind::outcome_unknown, error_kind::peer_unreachable, error_kind::peer_unreachable},
     false,
     error_kind::outcome_unknown,
     3},
    {"no target left keeps the last reason",
     {error_kind::overloaded, error_kind::overloaded, error_kind::target_leaving},
     true,
     error_kind::target_leaving,
     3},
};

/// Which attempts are marked as repeats: those after one that reached a target.
struct repeat_case {
    std::string name;
    std::vector<error_kind> script;
    std::vector<bool> marked;
};

std::ostream& operator<<(std::ostream& out, const repeat_case& value) {
    return out << value.name;
}

const std::vector<repeat_case> repeat_cases{
    {"first send", {}, {false}},
    {"after a gate's refusal", {error_kind::overloaded}, {false, false}},
    {"after an unreachable node", {error_kind::peer_unreachable}, {false, false}},
    {"after a target's refusal", {error_kind::target_refused}, {false, true}},
    {"after an unknown outcome", {error_kind::outcome_unknown}, {false, true}},
    {"a gate's refusal in between",
     {error_kind::target_refused, error_kind::repeat_limited},
     {false, true, true}},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ingress_exchange)

// Guards against repeats that escape the fleet's budget, and against first sends that are charged to it.
BOOST_DATA_TEST_CASE(sends_after_an_arrival_are_repeats, boost::unit_test::data::make(repeat_cases), row) {
    scripted_fleet fleet;
    fleet.script = row.script;
    fleet.non_idempotent = false;
    ingress_hooks hooks = fleet.hooks();
    std::vector<bool> marked;
    hooks.dispatch = [&](const route_choice& choice, const request_head& head, body_reader& body,
                         response_writer& writer) {
        marked.push_back(head.is_retry);
        return fleet.answer(choice, head, body, writer);
    };
    ingress entry(fleet.clock, {}, hooks);
    text_body body("x");
    kept_answer answer;
    run_to_end(entry.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST(marked == row.marked, boost::test_tools::per_element());
}

// Guards against a request that still waits in a queue when its stopping node is killed, and gets no answer.
BOOST_DATA_TEST_CASE(stopping_node_limits_the_time, boost::unit_test::data::make(stop_cases), row) {
    scripted_fleet fleet;
    ingress_hooks hooks = fleet.hooks();
    const steady_time start = fleet.clock.now();
    hooks.answer_by = [&]() -> std::optional<steady_time> {
        return row.node_time ? std::optional<steady_time>(start + *row.node_time) : std::nullopt;
    };
    std::vector<steady_time> deadlines;
    hooks.dispatch = [&](const route_choice& choice, const request_head& head, body_reader& body,
                         response_writer& writer) {
        deadlines.push_back(head.deadline);
        return fleet.answer(choice, head, body, writer);
    };
    ingress entry(fleet.clock, {}, hooks);
    text_body body("x");
    kept_answer answer;
    run_to_end(entry.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST(deadlines.size() == 1U);
    BOOST_TEST((deadlines.at(0) == start + row.attempt_time));
}

// Guards against a second run of an unsafe request and against giving up on a provably safe retry.
BOOST_DATA_TEST_CASE(retries_need_proof, boost::unit_test::data::make(retry_cases), sample) {
    scripted_fleet fleet;
    fleet.script = sample.script;
    fleet.non_idempotent = sample.non_idempotent;
    ingress handler(fleet.clock, {}, fleet.hooks());
    text_body body("a deposit of 40 reais");
    kept_answer answer;
    const exchange_result result = run_to_end(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST(answer_of(result.error).name == answer_of(sample.expected).name);
    BOOST_TEST(fleet.targets.size() == sample.attempts);
    BOOST_TEST(fleet.reported_attempts.size() == sample.attempts);
    BOOST_TEST(answer.finished() == (sample.expected == error_kind::none));
    for (const std::string& seen : fleet.bodies) {
        BOOST_TEST(seen == "a deposit of 40 reais");
    }
}

// Guards against a retry that sends a body without its consumed start.
BOOST_AUTO_TEST_CASE(consumed_large_body_is_not_retried) {
    scripted_fleet fleet;
    fleet.script = {error_kind::overloaded};
    ingress_options options;
    options.replay_bytes = 8;
    ingress handler(fleet.clock, options, fleet.hooks());
    text_body body("longer than eight bytes");
    kept_answer answer;
    const exchange_result result = run_to_end(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::overloaded));
    BOOST_TEST(fleet.targets.size() == 1U);
}

// Guards against giving up on a large upload that was refused before its body was read.
BOOST_AUTO_TEST_CASE(unread_large_body_is_retried_whole) {
    scripted_fleet fleet;
    fleet.script = {error_kind::overloaded};
    fleet.read_before_failing = false;
    ingress_options options;
    options.replay_bytes = 8;
    ingress handler(fleet.clock, options, fleet.hooks());
    text_body body("longer than eight bytes");
    kept_answer answer;
    const exchange_result result = run_to_end(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::none));
    BOOST_REQUIRE_EQUAL(fleet.bodies.size(), 1U);
    BOOST_TEST(fleet.bodies[0] == "longer than eight bytes");
}

// Guards against attempts after the deadline of the route.
BOOST_AUTO_TEST_CASE(deadline_ends_the_attempts) {
    scripted_fleet fleet;
    fleet.script = {error_kind::overloaded, error_kind::overloaded, error_kind::overloaded};
    fleet.attempt_time = 60ms;
    ingress handler(fleet.clock, {}, fleet.hooks());
    text_body body("x");
    kept_answer answer;
    const exchange_result result = run_to_end(handler.exchange(caller_request(fleet.clock), body, answer));
    BOOST_TEST((result.error == error_kind::overloaded));
    BOOST_TEST(fleet.targets.size() == 2U);
}

// Guards against requests that differ only in one field being taken for equal.
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
