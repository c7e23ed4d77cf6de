#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "drivers/log/log_http_client.h"
#include "tests/drivers/http/fake_target.h"
#include "tests/drivers/http/malformed_answers.h"

namespace teaselpitch::testing {
namespace {

log_http::response call_log(const std::string& answer) {
    net::io_context context(1);
    fake_target log(context, [&](raw_connection& connection, int) -> awaitable<void> {
        co_await read_request(connection);
        co_await connection.send(answer);
        co_await wait_for_close(connection);
    });
    log_http::response result;
    run_on(context, [&]() -> awaitable<void> {
        log_http::request message;
        message.target = "/";
        result = co_await log_http::send_request(log.address, message, std::chrono::seconds(60));
    }());
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(log_replies)

// Guards against a malformed reply of the log that counts as an acknowledgement, or as an answer that the
// request was refused although it may have been appended.
BOOST_DATA_TEST_CASE(malformed_replies_are_no_answers, boost::unit_test::data::make(malformed_heads), row) {
    const log_http::response result = call_log(row.answer);
    BOOST_TEST(result.sent);
    BOOST_TEST(!result.answered);
    BOOST_TEST(result.detail.starts_with("malformed answer"), result.detail);
}

// Guards against valid replies, also after an interim one, that are rejected.
BOOST_DATA_TEST_CASE(valid_replies_are_answers, boost::unit_test::data::make(valid_answers), row) {
    const log_http::response result = call_log(row.answer);
    BOOST_TEST(result.answered, result.detail);
    BOOST_TEST(result.status >= 200U);
    BOOST_TEST(result.body == (result.status == 204 ? "" : "whole"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::testing
