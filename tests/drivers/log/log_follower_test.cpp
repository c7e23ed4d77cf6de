#include "drivers/log/log_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "drivers/log/log_client.h"
#include "servers/table/snapshot_codec.h"
#include "tests/drivers/log/log_server_fixture.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

using namespace std::chrono_literals;
using namespace table_tests;

BOOST_AUTO_TEST_SUITE(log_following)

std::string make_encoded_edit(const std::string& id, std::uint64_t base) {
    return encode_record(make_edit(id, base, {set_service("limits", 1 + static_cast<std::uint32_t>(base))}));
}

// Log service that answers reads from a list. Each answer advances the manual clock by 100 ms.
class scripted_log final : public log_service {
public:
    explicit scripted_log(manual_time_source& clock) : clock_(clock) {}

    awaitable<append_outcome> append(std::string) override { co_return append_outcome{}; }

    awaitable<absl::StatusOr<wire::LogBatch>> read(std::uint64_t from, std::uint32_t,
                                                   std::chrono::milliseconds) override {
        reads.push_back(from);
        clock_.advance(100ms);
        absl::StatusOr<wire::LogBatch> answer = absl::UnavailableError("down");
        if (!answers.empty()) {
            answer = answers.front();
            answers.pop_front();
        }
        co_return answer;
    }

    void add_answer(std::uint64_t first, std::uint64_t end, std::uint64_t offset,
                    const std::vector<std::string>& payloads) {
        wire::LogBatch batch;
        batch.set_first_offset(first);
        batch.set_end_offset(end);
        for (const std::string& payload : payloads) {
            wire::StoredRecord& record = *batch.add_records();
            record.set_offset(offset++);
            record.set_payload(payload);
        }
        answers.emplace_back(batch);
    }

    std::deque<absl::StatusOr<wire::LogBatch>> answers;
    std::vector<std::uint64_t> reads;

private:
    manual_time_source& clock_;
};

struct fixture {
    manual_time_source clock;
    scripted_log log{clock};
    table_replica replica;
    std::vector<std::string> events;
    log_follower follower{log,
                          replica,
                          clock,
                          {},
                          {[this](const wire::StoredRecord& record, const apply_result&) {
                               events.push_back("record " + std::to_string(record.offset()));
                           },
                           [this] { events.push_back("table " + std::to_string(replica.version())); },
                           [this](const std::string& reason) { events.push_back("log " + reason); }}};

    absl::Status read_batch() { return run_until_complete(follower.read_once(0ms)); }
};

// Guards against freshness that is counted from the time of an answer instead of the request, or from an
// answer that did not reach the end of the log.
BOOST_FIXTURE_TEST_CASE(last_fresh_read_is_request_time, fixture) {
    log.add_answer(0, 3, 0, {make_encoded_edit("e1", 0)});
    log.add_answer(0, 3, 1, {make_encoded_edit("e2", 1), "garbage"});
    BOOST_TEST(read_batch().ok());
    BOOST_TEST(!follower.last_fresh_read().has_value());
    const steady_time requested_at = clock.now();
    BOOST_TEST(read_batch().ok());
    BOOST_TEST((follower.last_fresh_read() == requested_at));
    BOOST_TEST(!read_batch().ok());
    BOOST_TEST((follower.last_fresh_read() == requested_at));
    BOOST_TEST(replica.version() == 2);
    const std::vector<std::string> expected{"record 0", "table 1",  "record 1",
                                            "table 2",  "record 2", "log down"};
    BOOST_TEST(events == expected, boost::test_tools::per_element());
}

// Guards against a fresh read of a replica that lacks records, and against reading on after a snapshot
// instead of from its as_of offset.
BOOST_FIXTURE_TEST_CASE(snapshot_resets_read_offset, fixture) {
    table_replica other;
    other.apply(0, make_encoded_edit("e1", 0));
    other.apply(1, make_encoded_edit("e2", 1));
    const std::string snapshot = encode_snapshot_record(other.make_snapshot());
    log.add_answer(2, 4, 2, {make_encoded_edit("e3", 2), snapshot});
    log.add_answer(2, 4, 2, {make_encoded_edit("e3", 2), snapshot});
    BOOST_TEST(read_batch().ok());
    BOOST_TEST(replica.version() == 2);
    BOOST_TEST(!follower.last_fresh_read().has_value());
    BOOST_TEST(read_batch().ok());
    BOOST_TEST(replica.version() == 3);
    BOOST_TEST(follower.last_fresh_read().has_value());
    const std::vector<std::uint64_t> expected{0, 2};
    BOOST_TEST(log.reads == expected, boost::test_tools::per_element());
}

// Guards against a log that lost records or skips some and is still accepted as the same log.
BOOST_FIXTURE_TEST_CASE(lost_or_missing_records_are_reported, fixture) {
    log.add_answer(0, 2, 0, {make_encoded_edit("e1", 0), make_encoded_edit("e2", 1)});
    log.add_answer(0, 1, 0, {});
    log.add_answer(0, 5, 4, {make_encoded_edit("e3", 2)});
    BOOST_TEST(read_batch().ok());
    BOOST_TEST((read_batch().code() == absl::StatusCode::kFailedPrecondition));
    BOOST_TEST((read_batch().code() == absl::StatusCode::kDataLoss));
    BOOST_TEST(replica.version() == 2);
}

// Guards against a follower that does not resume after an outage or misses an append.
BOOST_AUTO_TEST_CASE(reading_resumes_after_outage) {
    log_server_fixture log;
    system_time_source clock;
    table_replica replica;
    log_client client({log.address(), "table", 10s});
    boost::asio::io_context context(1);
    bool resumed = false;
    const auto on_availability = [&](const std::string& reason) {
        if (!reason.empty()) {
            log.run_on_server([](standin_log_server& server) {
                server.faults() = {};
                server.stream("table").append(make_encoded_edit("e2", 1), {});
            });
        }
        resumed = resumed || reason.empty();
    };
    const auto on_table = [&] {
        if (replica.version() == 1) {
            log.set_faults({standin_log_faults::outage_kind::refuse, 0ms, 0, 0});
        } else {
            context.stop();
        }
    };
    log_follower follower(client, replica, clock, {10, 50ms, 1ms, 5ms, 1}, {{}, on_table, on_availability});
    log.run_on_server(
        [](standin_log_server& server) { server.stream("table").append(make_encoded_edit("e1", 0), {}); });
    boost::asio::co_spawn(context, follower.run(), boost::asio::detached);
    context.run_for(20s);
    BOOST_TEST(replica.version() == 2);
    BOOST_TEST(resumed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
