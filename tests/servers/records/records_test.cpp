#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "servers/records/decision_log.h"
#include "servers/records/outcome_counters.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

decision_record make_record(decision_subject subject, const std::string& id) {
    decision_record record;
    record.subject = subject;
    record.id = id;
    return record;
}

struct outcome_case {
    std::string name;
    error_kind error;
    unsigned status;
    std::chrono::milliseconds latency;
    outcome expected;
};

std::ostream& operator<<(std::ostream& out, const outcome_case& value) {
    return out << value.name;
}

const std::vector<outcome_case> outcome_cases{
    {"answer within the objective", error_kind::none, 200, 50ms, outcome::good},
    {"answer at the objective", error_kind::none, 200, 100ms, outcome::good},
    {"slow answer", error_kind::none, 200, 101ms, outcome::slow},
    {"caller error from the target", error_kind::none, 404, 5ms, outcome::good},
    {"error from the target", error_kind::none, 503, 5ms, outcome::wrong},
    {"overload", error_kind::overloaded, 503, 5ms, outcome::refused},
    {"deadline", error_kind::target_timeout, 504, 900ms, outcome::timed_out},
    {"broken answer", error_kind::answer_broken, 502, 5ms, outcome::wrong},
    {"doubt", error_kind::key_in_doubt, 409, 5ms, outcome::unknown},
    {"no route", error_kind::no_route, 404, 5ms, outcome::caller_fault},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(records)

struct size_case {
    std::string name;
    std::size_t id_bytes;
    std::size_t records;
    std::size_t evidence;
    std::size_t evidence_bytes;
    std::size_t kept;
};

std::ostream& operator<<(std::ostream& out, const size_case& value) {
    return out << value.name;
}

const std::vector<size_case> size_cases{
    {"short records", 20, 5'000, 4, 10, 4'096},
    {"long ids", 15'000, 4'096, 0, 0, 3'000},
    {"long evidence", 20, 4'096, 8, 15'000, 450},
};

// Guards against records that take the memory of the machine because a caller chose long texts.
BOOST_DATA_TEST_CASE(records_are_bounded_in_bytes, boost::unit_test::data::make(size_cases), row) {
    const size_case expected = row;
    manual_time_source clock;
    decision_log log(clock, 4'096);
    const std::string id(expected.id_bytes, 'i');
    for (std::size_t i = 0; i < expected.records; ++i) {
        decision_record record = make_record(decision_subject::request, id);
        for (std::size_t j = 0; j < expected.evidence; ++j) {
            record.evidence.push_back({"attempt", std::string(expected.evidence_bytes, 'v')});
        }
        log.add(std::move(record));
    }
    const auto found = log.find(decision_subject::request, id, 5'000);
    BOOST_TEST(found.size() >= expected.kept);
    std::size_t bytes = 0;
    for (const decision_record& record : found) {
        bytes += record.id.size();
        for (const decision_evidence& entry : record.evidence) {
            bytes += entry.value.size();
        }
    }
    BOOST_TEST(bytes <= decision_log::max_bytes_per_subject);
}

// Guards against many records about requests that overwrite the record of an ejection.
BOOST_AUTO_TEST_CASE(subjects_do_not_overwrite_each_other) {
    manual_time_source clock;
    decision_log log(clock, 4);
    log.add(make_record(decision_subject::target, "t1"));
    for (int i = 0; i < 100; ++i) {
        log.add(make_record(decision_subject::request, "r" + std::to_string(i)));
    }
    BOOST_TEST(log.find(decision_subject::target, "t1", 10).size() == 1U);
    const auto requests = log.find(decision_subject::request, "", 10);
    BOOST_REQUIRE_EQUAL(requests.size(), 4U);
    BOOST_TEST(requests.front().id == "r96");
    BOOST_TEST(requests.back().id == "r99");
}

// Guards against outcomes that are counted in the wrong class of the error budget.
BOOST_DATA_TEST_CASE(outcomes_are_classified, boost::unit_test::data::make(outcome_cases), sample) {
    BOOST_TEST(to_string(classify_outcome(sample.error, sample.status, sample.latency, 100ms)) ==
               to_string(sample.expected));
}

// Guards against counting outdated buckets after the ring buffer has wrapped around.
BOOST_AUTO_TEST_CASE(windows_exclude_old_buckets) {
    manual_time_source clock;
    outcome_counters counters(clock);
    counters.add("limits", "seq-bne", outcome::good);
    clock.advance(3min);
    counters.add("limits", "seq-bne", outcome::refused);
    const std::vector<std::chrono::minutes> lengths{1min, 5min, 60min, 360min};
    const std::vector<std::uint64_t> good{0, 1, 1, 1};
    auto windows = counters.windows(lengths);
    BOOST_REQUIRE_EQUAL(windows.size(), lengths.size());
    for (std::size_t i = 0; i < windows.size(); ++i) {
        BOOST_TEST(windows[i].counts[static_cast<std::size_t>(outcome::good)] == good[i]);
        BOOST_TEST(windows[i].counts[static_cast<std::size_t>(outcome::refused)] == 1U);
    }
    clock.advance(61min);
    windows = counters.windows(lengths);
    BOOST_TEST(windows[2].counts[static_cast<std::size_t>(outcome::good)] == 0U);
    BOOST_TEST(windows[3].counts[static_cast<std::size_t>(outcome::good)] == 1U);
    clock.advance(25h);
    BOOST_TEST(counters.windows(lengths)[3].counts[static_cast<std::size_t>(outcome::good)] == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
