#include "modules/proxy/slot_loan.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

#include "exchange_fakes.h"
#include "modules/proxy/gate.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t held_bytes = 100;

awaitable<void> wait_forever() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    boost::asio::steady_timer::time_point::max());
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// A body whose caller stops sending after the first bytes.
class stalled_body final : public body_reader {
public:
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override {
        if (first_) {
            first_ = false;
            co_return std::min<std::size_t>(buffer.size(), 10);
        }
        co_await wait_forever();
        co_return std::size_t{0};
    }

private:
    bool first_ = true;
};

/// A caller that takes the head of its answer and nothing else.
class stalled_writer final : public response_writer {
public:
    awaitable<absl::Status> write_head(const response_head& /*head*/) override { co_return absl::OkStatus(); }
    awaitable<absl::Status> write_body(std::span<const std::byte> /*data*/) override {
        co_await wait_forever();
        co_return absl::OkStatus();
    }
    awaitable<absl::Status> finish() override { co_return absl::OkStatus(); }
    void abort() override { aborted = true; }

    bool aborted = false;
};

struct loan_case {
    const char* name;
    bool body_arriving;
    std::size_t answer_bytes;
    bool gives_way;
    bool head_written;
};

std::ostream& operator<<(std::ostream& out, const loan_case& value) {
    return out << value.name;
}

const std::vector<loan_case> loan_cases{
    {"body that stalls", true, 0, true, false},
    {"long answer that is not read", false, held_bytes + 1, true, true},
    {"answer that a node holds", false, held_bytes, false, true},
    {"complete body that the target reads slowly", false, 0, false, false},
};

/// A gate with one target that has one slot.
struct loan_fixture {
    manual_time_source clock;
    std::atomic<ticket_id> tickets{1};
    boost::asio::io_context context;
    std::shared_ptr<guarded_target> target = std::make_shared<guarded_target>(
        clock, target_identity{"t1", 1}, "limits", endpoint{"127.0.0.1", 1},
        admission_options{.slots = 1, .max_queued = 4, .max_wait = 60s, .initial_service_time = 10ms});
    std::size_t answer_bytes = 0;
    std::vector<std::string> started;
    std::vector<std::chrono::nanoseconds> latencies;
    gate handler{clock, tickets, hooks(), {.held_answer_bytes = held_bytes}};

    gate_hooks hooks() {
        gate_hooks result;
        result.find_target = [this](std::string_view) { return target; };
        result.is_quarantined = [](const request_head&) { return false; };
        result.send = [this](const guarded_target&, const request_head& head, body_reader& body,
                             response_writer& writer,
                             const write_permission&) { return send(head, body, writer); };
        result.run_started = [this](const gate_run& run) { started.push_back(run.head.request_id); };
        result.run_ended = [this](const gate_run_end& end) { latencies.push_back(end.head_latency); };
        result.refused = [](const request_head&, const exchange_result&) {};
        return result;
    }

    // Reads the body and answers, as a target does.
    awaitable<exchange_result> send(const request_head& head, body_reader& body, response_writer& writer) {
        std::vector<std::byte> data(std::max<std::size_t>(answer_bytes, 16));
        while (head.has_body) {
            const absl::StatusOr<std::size_t> count = co_await body.read_some(data);
            if (!count.ok()) {
                co_return failed_exchange(error_kind::cancelled, "the body failed");
            }
            if (*count == 0) {
                break;
            }
        }
        response_head answer;
        answer.status = 200;
        (void)co_await writer.write_head(answer);
        if (answer_bytes > 0) {
            const absl::Status written = co_await writer.write_body(std::span(data).first(answer_bytes));
            if (!written.ok()) {
                writer.abort();
                exchange_result failed = failed_exchange(error_kind::cancelled, "the answer failed");
                failed.head_written = true;
                co_return failed;
            }
        }
        co_return exchange_result{};
    }

    request_head head(const std::string& id) const {
        request_head value;
        value.request_id = id;
        value.target = {"t1", 1};
        value.deadline = clock.now() + 600s;
        return value;
    }

    void start(const request_head& request, body_reader& body, response_writer& writer,
               std::optional<exchange_result>& result) {
        boost::asio::co_spawn(context, handler.exchange(request, body, writer),
                              [&result](const std::exception_ptr& error, exchange_result end) {
                                  if (!error) {
                                      result = std::move(end);
                                  }
                              });
        poll();
    }

    void poll() {
        context.restart();
        context.poll();
    }
};

// Pattern: the caller of the request in the only slot stalls, and another request waits. Guards against slots
// that callers keep from everyone else, against an answer that promises too much, and against a target that
// looks slow because its callers are.
BOOST_DATA_TEST_CASE(stalled_callers_give_way, boost::unit_test::data::make(loan_cases), row) {
    const loan_case expected = row;
    loan_fixture fixture;
    fixture.answer_bytes = expected.answer_bytes;
    request_head slow = fixture.head("slow");
    slow.has_body = expected.body_arriving || expected.answer_bytes == 0;
    slow.body_arriving = expected.body_arriving;
    stalled_body slow_body;
    stalled_writer slow_writer;
    std::optional<exchange_result> slow_result;
    fixture.start(slow, slow_body, slow_writer, slow_result);

    fixture.clock.advance(30s);
    fixture.target->on_tick();
    fixture.poll();
    BOOST_TEST(!slow_result.has_value());  // Nobody waits for the slot.

    fixture.answer_bytes = 0;
    const request_head other = fixture.head("other");
    chunked_text_body other_body("");
    recording_writer other_writer;
    std::optional<exchange_result> other_result;
    fixture.start(other, other_body, other_writer, other_result);
    fixture.poll();

    BOOST_TEST(slow_result.has_value() == expected.gives_way);
    BOOST_TEST(other_result.has_value() == expected.gives_way);
    if (slow_result) {
        BOOST_TEST((slow_result->error == error_kind::caller_too_slow));
        BOOST_TEST((slow_result->execution == execution_state::unknown));
        BOOST_TEST(slow_result->head_written == expected.head_written);
        BOOST_TEST(slow_writer.aborted == expected.head_written);
        BOOST_TEST(fixture.latencies.front().count() == 0);
    }
}

struct head_case {
    const char* name;
    bool has_body;
    std::uint64_t content_length;
    bool lent;
};

std::ostream& operator<<(std::ostream& out, const head_case& value) {
    return out << value.name;
}

const std::vector<head_case> head_cases{
    {"body that a node holds", true, held_bytes, false},
    {"longer body", true, held_bytes + 1, true},
    {"length of a body that a HEAD request does not ask for", false, held_bytes + 1, false},
};

// Guards against loans for answers whose callers have nothing to read.
BOOST_DATA_TEST_CASE(long_answers_are_lent_from_their_head, boost::unit_test::data::make(head_cases), row) {
    const head_case expected = row;
    loan_fixture fixture;
    slot_loan loan(*fixture.target, 1, 0, fixture.clock, fixture.context.get_executor());
    recording_writer writer;
    bool noted = false;
    lent_answer answer(writer, loan, held_bytes, [&] { noted = true; });
    response_head head;
    head.has_body = expected.has_body;
    head.content_length = expected.content_length;
    BOOST_TEST(run_until_complete(answer.write_head(head)).ok());
    BOOST_TEST(loan.active() == expected.lent);
    BOOST_TEST(noted == expected.lent);
}

// Guards against uploads that are refused although the slot is free, and against those that take the share of
// all others.
BOOST_AUTO_TEST_CASE(arriving_bodies_leave_a_share_of_the_slots) {
    loan_fixture fixture;
    fixture.target->set_slots(2);
    chunked_text_body empty("");
    recording_writer writer;
    std::optional<exchange_result> other;
    fixture.start(fixture.head("other"), empty, writer, other);
    BOOST_REQUIRE(other.has_value());
    std::vector<std::unique_ptr<stalled_body>> bodies;
    std::vector<std::optional<exchange_result>> results(2);
    stalled_writer uploads_writer;
    std::vector<request_head> heads(2, fixture.head("upload"));
    for (std::size_t i = 0; i < heads.size(); ++i) {
        heads[i].has_body = heads[i].body_arriving = true;
        bodies.push_back(std::make_unique<stalled_body>());
        fixture.start(heads[i], *bodies.back(), uploads_writer, results[i]);
    }
    BOOST_TEST(!results[0].has_value());
    BOOST_REQUIRE(results[1].has_value());
    BOOST_TEST((results[1]->error == error_kind::overloaded));
    BOOST_TEST((results[1]->execution == execution_state::not_run));
}

}  // namespace
}  // namespace teaselpitch
