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

/// A gate with one target that has one slot; a run ends when the test notifies `run_ends`.
struct gate_fixture {
    manual_time_source clock;
    std::atomic<ticket_id> tickets{1};
    boost::asio::io_context context;
    std::shared_ptr<guarded_target> target = std::make_shared<guarded_target>(
        clock, target_identity{"t1", 1}, "limits", endpoint{"127.0.0.1", 1},
        admission_options{.slots = 1, .max_queued = 1, .max_wait = 200ms, .initial_service_time = 10ms});
    bool quarantined = false;
    bool retry_budget_on_offer = true;  ///< Budget left when a request is offered.
    bool retry_budget_on_start = true;  ///< Budget left when its run starts.
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
        result.has_retry_budget = [this](const request_head&, const guarded_target&) {
            return retry_budget_on_offer;
        };
        result.count_arrival = [this](const request_head& head, const guarded_target&) {
            const bool counted = !head.is_retry || retry_budget_on_start;
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
            co_return failed_exchange(error_kind::slot_moving, "permission denied");
        }
        waiter_table<bool>::registration run_end(run_ends, std::stoull(head.request_id),
                                                 co_await boost::asio::this_coro::executor);
        co_await run_end.wait();
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

/// An exchange that runs in the I/O context of the fixture.
struct running_exchange {
    running_exchange(gate_fixture& fixture, request_head request) : head(std::move(request)), body("") {
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
    chunked_text_body body;
    recording_writer answer;
    boost::asio::cancellation_signal cancel;
    std::optional<exchange_result> result;
    bool failed = false;
};

void poll(gate_fixture& fixture) {
    fixture.context.restart();
    fixture.context.poll();
}

struct refusal_case {
    std::string name;
    std::function<void(gate_fixture&, request_head&)> arrange;
    error_kind expected;
};

std::ostream& operator<<(std::ostream& out, const refusal_case& value) {
    return out << value.name;
}

const std::vector<refusal_case> refusal_cases{
    {"unknown target", [](gate_fixture&, request_head& head) { head.target.name = "t9"; },
     error_kind::no_target},
    {"earlier incarnation", [](gate_fixture&, request_head& head) { head.target.incarnation = 0; },
     error_kind::no_target},
    {"quarantined", [](gate_fixture& fixture, request_head&) { fixture.quarantined = true; },
     error_kind::quarantined},
    {"leaving", [](gate_fixture& fixture, request_head&) { fixture.target->set_leaving(); },
     error_kind::target_leaving},
    {"deadline expired",
     [](gate_fixture& fixture, request_head& head) { head.deadline = fixture.clock.now(); },
     error_kind::deadline_expired},
    {"retry without budget",
     [](gate_fixture& fixture, request_head& head) {
         head.is_retry = true;
         fixture.retry_budget_on_offer = false;
     },
     error_kind::retry_limited},
    {"retry whose budget is used up when it starts",
     [](gate_fixture& fixture, request_head& head) {
         head.is_retry = true;
         fixture.retry_budget_on_start = false;
     },
     error_kind::retry_limited},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(gate_admission)

// Guards against a refusal after bytes were sent to the target, and against a refusal that is not reported as
// not run.
BOOST_DATA_TEST_CASE(refused_requests_are_not_sent, boost::unit_test::data::make(refusal_cases), sample) {
    gate_fixture fixture;
    request_head head = fixture.head(1);
    sample.arrange(fixture, head);
    running_exchange exchange(fixture, head);
    BOOST_REQUIRE(exchange.result.has_value());
    BOOST_TEST(get_error_answer(exchange.result->error).name == get_error_answer(sample.expected).name);
    BOOST_TEST((exchange.result->execution == execution_state::not_run));
    BOOST_TEST(fixture.started.empty());
    BOOST_TEST(fixture.arrivals == 0U);
    BOOST_TEST(fixture.target->load().running == 0U);
    BOOST_TEST(fixture.refusals.size() == 1U);
}

// Guards against a retry budget that counts requests which no target received, and that refuses first sends.
BOOST_AUTO_TEST_CASE(only_started_requests_count_as_arrivals) {
    gate_fixture fixture;
    fixture.retry_budget_on_offer = false;
    fixture.retry_budget_on_start = false;
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

// Guards against a queued request that is never resumed, and against more runs than slots.
BOOST_AUTO_TEST_CASE(queued_request_runs_after_the_first) {
    gate_fixture fixture;
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

// Guards against a slot that is not released when the caller cancels a running or queued request.
BOOST_AUTO_TEST_CASE(cancelled_requests_release_their_slots) {
    gate_fixture fixture;
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

// Guards against a queued request that waits longer than the maximum wait.
BOOST_AUTO_TEST_CASE(queued_request_is_dropped_after_max_wait) {
    gate_fixture fixture;
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
