#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "tests/drivers/http/fake_target.h"
#include "tests/drivers/http/test_dialect.h"

namespace teaselpitch::testing {
namespace {

struct dialect_case {
    const char* name;
    std::string answer;
    error_kind kind;
    execution_state execution;
    std::string body;  ///< Body that the caller receives.
};

std::ostream& operator<<(std::ostream& out, const dialect_case& value) {
    return out << value.name;
}

const std::string valid_answer = "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\nContent-Length: 3\r\n\r\nabc";

const std::vector<dialect_case> dialect_cases{
    {"complete answer", valid_answer, error_kind::none, execution_state::run, "abc"},
    {"late answer to an earlier request before the answer",
     "HTTP/1.1 200 OK\r\nAttempt: r0\r\nSeal: s\r\nContent-Length: 3\r\n\r\nold" + valid_answer,
     error_kind::none, execution_state::run, "abc"},
    {"only an answer to another request",
     "HTTP/1.1 200 OK\r\nAttempt: r0\r\nSeal: s\r\nContent-Length: 3\r\n\r\nold", error_kind::outcome_unknown,
     execution_state::unknown, ""},
    {"success without a seal", "HTTP/1.1 200 OK\r\nAttempt: r1\r\nContent-Length: 3\r\n\r\nabc",
     error_kind::answer_broken, execution_state::unknown, ""},
    {"refusal", "HTTP/1.1 503 Busy\r\nAttempt: r1\r\nNot-Done: 1\r\nContent-Length: 0\r\n\r\n",
     error_kind::target_refused, execution_state::not_run, ""},
    {"failure of a request that has run", "HTTP/1.1 503 Busy\r\nAttempt: r1\r\nContent-Length: 2\r\n\r\nno",
     error_kind::none, execution_state::run, "no"},
    {"another target at the address", "HTTP/1.1 421 Misdirected\r\nAttempt: r1\r\nContent-Length: 0\r\n\r\n",
     error_kind::wrong_target, execution_state::not_run, ""},
    {"truncated body", "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nabc",
     error_kind::answer_broken, execution_state::unknown, "abc"},
};

}  // namespace

// Guards against forwarding the answer of another request or another target, and against a false report that
// a request has not run.
BOOST_DATA_TEST_CASE(answers_are_checked_by_the_dialect, boost::unit_test::data::make(dialect_cases), row) {
    const dialect_case expected = row;
    net::io_context context(1);
    const system_time_source clock;
    std::string received_fields;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        const auto request = co_await read_request(connection);
        received_fields = std::string(request["Wanted"]) + " " + std::string(request["Origin"]) + " " +
                          std::string(request["Attempt"]);
        co_await connection.send(expected.answer);
    });
    target_client client(context.get_executor(), target.address, clock,
                         {.target_name = "t", .dialect = make_test_dialect()});
    run_on(context, [&]() -> awaitable<void> {
        text_body body("");
        recording_writer writer;
        request_head head = make_head(clock);
        head.target.name = "i-1";
        head.caller_service = "vitrine";
        const exchange_result result = co_await client.exchange(head, body, writer);
        BOOST_TEST((result.error == expected.kind), result.detail);
        BOOST_TEST((result.execution == expected.execution));
        BOOST_TEST(writer.body == expected.body);
        BOOST_TEST(received_fields == "i-1 vitrine r1");
    }());
}

}  // namespace teaselpitch::testing
