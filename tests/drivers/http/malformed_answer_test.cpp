#include "tests/drivers/http/malformed_answers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/drivers/http/answer_trials.h"

namespace teaselpitch::testing {
namespace {

void check_not_whole(const trial_result& seen, std::string_view where) {
    // A request whose answer is malformed may have run, so it must not be sent again as one that has not.
    BOOST_TEST((seen.result.execution == execution_state::unknown), where);
    BOOST_TEST(
        (seen.result.error == error_kind::outcome_unknown || seen.result.error == error_kind::answer_broken),
        where << ": " << get_error_answer(seen.result.error).name);
    BOOST_TEST(!seen.writer.finished, where);
    BOOST_TEST(seen.writer.head.has_value() == seen.writer.aborted, where);
    BOOST_TEST(seen.idle_connections == 0U, where);
}

std::string describe(const trial& row) {
    return "after " + std::to_string(row.answer.size()) + " bytes, " +
           (row.end == ending::reset ? "reset" : "close") + (row.upload ? ", with an upload" : "");
}

/// Runs the check for the answer cut after each number of bytes, in all combinations.
template <typename Check>
void for_each_cut(const std::string& answer, const Check& check) {
    for (std::size_t cut = 0; cut < answer.size(); ++cut) {
        for (const ending end : {ending::close, ending::reset}) {
            for (const bool upload : {false, true}) {
                check(trial{answer.substr(0, cut), end, upload});
            }
        }
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(malformed_answers)

// Guards against a malformed answer that is forwarded, that is held until the deadline while the connection
// stays open, or whose request counts as not run.
BOOST_DATA_TEST_CASE(malformed_heads_fail_at_once, boost::unit_test::data::make(malformed_heads), row) {
    trial_bench bench;
    for (const bool upload : {false, true}) {
        const trial_result seen = bench.run({row.answer, ending::none, upload});
        check_not_whole(seen, upload ? "with an upload" : "without an upload");
        BOOST_TEST(!seen.writer.head.has_value());
        BOOST_TEST((seen.result.error == error_kind::outcome_unknown));
        BOOST_TEST(get_error_answer(seen.result.error).http_status == 502U);
    }
}

// Guards against a body or trailer that breaks the rules of its framing and looks complete.
BOOST_DATA_TEST_CASE(malformed_bodies_fail_at_once, boost::unit_test::data::make(malformed_bodies), row) {
    trial_bench bench;
    for (const bool upload : {false, true}) {
        check_not_whole(bench.run({row.answer, ending::none, upload}), "on an open connection");
    }
}

// Guards against an answer of which a part looks complete when the target stops at any byte.
BOOST_DATA_TEST_CASE(malformed_heads_cut_at_any_byte, boost::unit_test::data::make(malformed_heads), row) {
    trial_bench bench;
    for_each_cut(row.answer, [&](const trial& cut) {
        const trial_result seen = bench.run(cut);
        check_not_whole(seen, describe(cut));
        BOOST_TEST(!seen.writer.head.has_value(), describe(cut));
    });
}

BOOST_DATA_TEST_CASE(malformed_bodies_cut_at_any_byte, boost::unit_test::data::make(malformed_bodies), row) {
    trial_bench bench;
    for_each_cut(row.answer, [&](const trial& cut) { check_not_whole(bench.run(cut), describe(cut)); });
}

BOOST_DATA_TEST_CASE(valid_answers_cut_at_any_byte, boost::unit_test::data::make(valid_answers), row) {
    trial_bench bench;
    for_each_cut(row.answer, [&](const trial& cut) { check_not_whole(bench.run(cut), describe(cut)); });
}

// Guards against an answer without a length that looks complete although its connection was reset or the
// target never received the whole request.
BOOST_AUTO_TEST_CASE(answers_without_a_length_end_only_in_order) {
    trial_bench bench;
    for (const std::string start : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Field: v\r\n\r\n"}) {
        for_each_cut(start + "body", [&](const trial& cut) {
            const bool ends_in_order = !cut.upload && cut.end == ending::close;
            if (!ends_in_order || cut.answer.size() < start.size()) {
                check_not_whole(bench.run(cut), describe(cut));
            }
        });
    }
}

// Guards against valid answers that are rejected as malformed.
BOOST_DATA_TEST_CASE(valid_answers_are_forwarded, boost::unit_test::data::make(valid_answers), row) {
    trial_bench bench;
    for (const bool upload : {false, true}) {
        const trial_result seen = bench.run({row.answer, ending::none, upload});
        BOOST_TEST((seen.result.error == error_kind::none), seen.result.detail);
        BOOST_TEST(seen.writer.finished);
        BOOST_TEST(seen.writer.body == (seen.writer.head->status == 204 ? "" : "whole"));
    }
    const auto reply = bench.call({row.answer, ending::none, false});
    BOOST_TEST(reply.ok(), reply.status().ToString());
}

// Guards against a malformed reply to a call to the store or to a target that counts as valid, or that
// occupies the call until its timeout.
BOOST_DATA_TEST_CASE(malformed_replies_to_calls_fail, boost::unit_test::data::make(malformed_heads), row) {
    trial_bench bench;
    const auto reply = bench.call({row.answer, ending::none, false});
    BOOST_TEST(!reply.ok());
    BOOST_TEST(!absl::IsDeadlineExceeded(reply.status()));
    for (std::size_t cut = 0; cut < row.answer.size(); ++cut) {
        BOOST_TEST(!bench.call({row.answer.substr(0, cut), ending::close, false}).ok(),
                   "cut after " << cut << " bytes");
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::testing
