#include "modules/proxy/buffered_answer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "exchange_fakes.h"

namespace teaselpitch {
namespace {

struct buffering_case {
    const char* name;
    std::size_t body;  ///< Bytes of the answer body.
    bool length_known;
    bool streamed;  ///< True when the caller gets it before it is complete.
};

std::ostream& operator<<(std::ostream& out, const buffering_case& value) {
    return out << value.name;
}

constexpr std::size_t limit = 100;

constexpr buffering_case buffering_cases[] = {
    {"short", 50, true, false},
    {"just short enough", 100, true, false},
    {"too long by its content length", 101, true, true},
    {"too long without a content length", 101, false, true},
    {"short without a content length", 10, false, false},
};

awaitable<void> write_answer(response_writer& writer, unsigned status, std::size_t size, bool length_known) {
    response_head head;
    head.status = status;
    if (length_known) {
        head.content_length = size;
    }
    (void)co_await writer.write_head(head);
    const std::string body(size, 'x');
    (void)co_await writer.write_body(std::as_bytes(std::span<const char>(body)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(buffered_answer_tests)

// Guards against a short answer that reaches the caller before another attempt could replace it, and against
// memory use that grows with the length of the answer.
BOOST_DATA_TEST_CASE(short_answers_are_buffered, buffering_cases, row) {
    const buffering_case expected = row;
    run_until_complete([&]() -> awaitable<bool> {
        recording_writer caller;
        buffered_answer answer(caller, limit);
        co_await write_answer(answer, 200, expected.body, expected.length_known);
        BOOST_TEST(answer.nothing_sent() != expected.streamed);
        BOOST_TEST(caller.body().empty() != expected.streamed);
        (void)co_await answer.finish();
        if (!expected.streamed) {
            const absl::Status delivered = co_await answer.deliver();
            BOOST_TEST(delivered.ok());
        }
        BOOST_TEST(caller.body().size() == expected.body);
        BOOST_TEST(caller.finished());
        co_return true;
    }());
}

// Guards against the loss of a target's failure answer when a later attempt returns no complete answer.
BOOST_AUTO_TEST_CASE(fallback_is_delivered_when_later_attempt_fails) {
    run_until_complete([]() -> awaitable<bool> {
        recording_writer caller;
        buffered_answer answer(caller, limit);
        co_await write_answer(answer, 500, 5, true);
        (void)co_await answer.finish();
        answer.store_fallback();
        co_await write_answer(answer, 200, 9, true);
        answer.abort();
        BOOST_TEST(!answer.is_complete());
        const absl::Status delivered = co_await answer.deliver();
        BOOST_TEST(delivered.ok());
        BOOST_TEST(caller.head()->status == 500U);
        BOOST_TEST(caller.body().size() == 5U);
        co_return true;
    }());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
