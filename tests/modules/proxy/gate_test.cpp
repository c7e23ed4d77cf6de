#include "modules/proxy/gate.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <ostream>
#include <vector>

#include "exchange_fakes.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// One target with one slot whose runs end when the test says so.
struct guarded_fixture {
    manual_time_source clock;
    std::atomic<ticket_id> tickets{1};
    boost::asio::io_context context;
    std::shared_ptr<guarded_target> target = std::make_shared<guarded_target>(
        clock, target_identity{"t1", 1}, "limits", endpoint{"127.0.0.1", 1},
        admission_options{.slots = 1, .max_queued = 1, .max_wait = 200ms, .initial_service_time = 10ms});
    bool quarantined = false;
    bool room_for_repeats = true;       ///< When a request is offered.
    bool repeats_left_at_start = true;  ///< When its run begins.
    std::size_t arrivals = 0;
    std::vector<std::string> started;
    std::vector<error_kind> refusals;
    waiter_table<bool> run_ends;

    gate_hooks hooks() {
        gate_hooks result;
        result.find_target = [this](std::string_view name) {
            return name == "t1" ? target : std::shared_ptr<guarded_target>();
        };
        result.is_quarantined = [this](const request_head&) { return quarantined; };
        result.may_repeat = [this](const request_head&, const guarded_target&) { return room_for_repeats; };
        result.count_arrival = [this](const request_head& head, const guarded_target&) {
            const bool counted = !head.is_retry || repeats_left_at_start;
            arrivals += counted ? 1 : 0;
            return counted;
        };
        result.send = [this](const guarded_target&, const request_head& head, body_reader&,
                             response_writer& writer,
                             const write_permission& permission) { return send(head, writer, permission); };
        result.run_started = [this](const gate_run& run) { started.push_back(run.head.request_id); };
        result.run_ended = [](const gate_run_end&) {};
        result.refused = [this](const request_head&, const exchange_result& failed) {
            refusals.push_back(failed.error);
        };
        return result;
    }

    awaitable<exchange_result> send(const request_head& head, response_writer& writer,
                                    const write_permission& permission) {
        if (!permission()) {
            co_return failed_exchange(error_kind::slot_moving, "no permission");
        }
        waiter_table<bool>::registration place(run_ends, std::stoull(head.request_id),
                                               co_await boost::asio::this_coro::executor);
        co_await place.wait();
        response_head answer;
        answer.status = 200;
        (void)co_await writer.write_head(answer);
        (void)co_await writer.finish();
        co_return exchange_result{};
    }

    gate handler{clock, tickets, hooks()};

    request_head head(std::uint64_t id) {
        request_head value;
        value.request_id = std::to_string(id);
        value.service = "limits";
        value.target = {"t1", 1};
        value.deadline = clock.now() + 1s;
        return value;
    }
};

/// One exchange that runs in the fixture's context.
struct running_exchange {
    running_exchange(guarded_fixture& fixture, request_head request) : head(std::move(request)), body("") {
        boost::asio::co_spawn(fixture.context, fixture.handler.exchange(head, body, answer),
                              boost::asio::bind_cancellation_slot(
                                  cancel.slot(), [this](std::exception_ptr error, exchange_result end) {
                                      failed = error != nullptr;
                                      if (!failed) {
                                          result = std::move(end);
                                      }
                                  }));
        fixture.context.restart();
        fixture.context.poll();
    }

    request_head head;
    text_body body;
    kept_answer answer;
    boost::asio::cancellation_signal cancel;
    std::optional<exchange_result> result;
    bool failed = false;
};

void poll(guarded_fixture& fixture) {
    fixture.context.restart();
    fixture.context.poll();
}

struct refusal_case {
    std::string name;
    std::function<void(guarded_fixture&, request_head&)> arrange;
    error_kind expected;
};

std::ostream& operator<<(std::ostream& out, const refusal_case& value) {
    return out << value.name;
}

const std::vector<refusal_case> refusal_cases{
    {"unknown target", [](guarded_fixture&, request_head& head) { head.target.name = "t9"; },
     error_kind::no_target},
    {"earlier incarnation", [](guarded_fixture&, request_head& head) { head.target.incarnation = 0; },
     error_kind::no_target},
    {"quarantined", [](guarded_fixture& fixture, request_head&) { fixture.quarantined = true; },
     error_kind::quarantined},
    {"leaving", [](guarded_fixture& fixture, request_head&) { fixture.target->set_leaving(); },
     error_kind::target_leaving},
    {"expired", [](guarded_fixture& fixture, request_head& head) { head.deadline = fixture.clock.now(); },
     error_kind::deadline_expired},
    {"repeat without budget",
     [](guarded_fixture& fixture, request_head& head) {
         head.is_retry = true;
         fixture.room_for_repeats = false;
     },
     error_kind::repeat_limited},
    {"repeat whose budget is gone when it starts",
     [](guarded_fixture& fixture, request_head& head) {
         head.is_retry = true;
         fixture.repeats_left_at_start = false;
     },
     error_kind::repeat_limited},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(gate_admission)

// Guards against a refusal after bytes went to the target or without the true execution state.
BOOST_DATA_TEST_CASE(refusals_reach_no_target, boost::unit_test::data::make(refusal_cases), sample) {
    guarded_fixture fixture;
    request_head head = fixture.head(1);
    sample.arrange(fixture, head);
    running_exchange exchange(fixture, head);
    BOOST_REQUIRE(exchange.result.has_value());
    BOOST_TEST(answer_of(exchange.result->error).name == answer_of(sample.expected).name);
    BOOST_TEST((exchange.result->execution == execution_state::not_run));
    BOOST_TEST(fixture.started.empty());
    BOOST_TEST(fixture.arrivals == 0U);
    BOOST_TEST(fixture.target->load().running == 0U);
    BOOST_TEST(fixture.refusals.size() == 1U);
}

// Guards against a budget of repeats that is charged for requests which no target saw, and against first
// sends that it refuses.
BOOST_AUTO_TEST_CASE(only_what_starts_counts_as_an_arrival) {
    guarded_fixture fixture;
    fixture.room_for_repeats = false;
    fixture.repeats_left_at_start = false;
    running_exchange first(fixture, fixture.head(1));
    running_exchange queued(fixture, fixture.head(2));
    running_exchange refused(fixture, fixture.head(3));
    BOOST_TEST(fixture.arrivals == 1U);
    queued.cancel.emit(boost::asio::cancellation_type::terminal);
    fixture.run_ends.notify(1, true);
    poll(fixture);
    BOOST_TEST(first.answer.finished());
    BOOST_TEST(fixture.arrivals == 1U);
}

// Guards against a queued request that is never woken, and against more runs than slots.
BOOST_AUTO_TEST_CASE(queued_request_runs_after_the_first) {
    guarded_fixture fixture;
    running_exchange first(fixture, fixture.head(1));
    running_exchange second(fixture, fixture.head(2));
    running_exchange third(fixture, fixture.head(3));
    BOOST_TEST(fixture.started.size() == 1U);
    BOOST_REQUIRE(third.result.has_value());
    BOOST_TEST((third.result->error == error_kind::overloaded));
    fixture.run_ends.notify(1, true);
    poll(fixture);
    BOOST_TEST(first.answer.finished());
    BOOST_TEST(fixture.started.size() == 2U);
    fixture.run_ends.notify(2, true);
    poll(fixture);
    BOOST_TEST(second.answer.finished());
    BOOST_TEST(fixture.target->load().running == 0U);
}

// Guards against a slot that is lost when the caller of a running or queued request goes away.
BOOST_AUTO_TEST_CASE(cancelled_requests_give_their_slots_back) {
    guarded_fixture fixture;
    running_exchange first(fixture, fixture.head(1));
    running_exchange second(fixture, fixture.head(2));
    second.cancel.emit(boost::asio::cancellation_type::terminal);
    poll(fixture);
    BOOST_TEST(second.failed);
    BOOST_TEST(fixture.target->load().queued == 0U);
    first.cancel.emit(boost::asio::cancellation_type::terminal);
    poll(fixture);
    BOOST_TEST(first.failed);
    BOOST_TEST(fixture.target->load().running == 0U);
    BOOST_TEST(fixture.started.size() == 1U);
}

// Guards against a queued request that waits past the longest wait.
BOOST_AUTO_TEST_CASE(queued_request_is_dropped_in_time) {
    guarded_fixture fixture;
    running_exchange first(fixture, fixture.head(1));
    running_exchange second(fixture, fixture.head(2));
    fixture.clock.advance(2s);
    fixture.target->on_tick();
    poll(fixture);
    BOOST_REQUIRE(second.result.has_value());
    BOOST_TEST((second.result->execution == execution_state::not_run));
    BOOST_TEST(fixture.started.size() == 1U);
    first.cancel.emit(boost::asio::cancellation_type::terminal);
    poll(fixture);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
