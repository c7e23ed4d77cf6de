#include "core/error_kind.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(error_kind_table)

// Guards against a kind that a peer node decodes as a different kind or not at all.
BOOST_AUTO_TEST_CASE(every_name_parses_to_its_kind) {
    for (const error_answer& answer : error_answers()) {
        BOOST_TEST((parse_error_kind(answer.name) == answer.kind), answer.name);
    }
    BOOST_TEST(!parse_error_kind("no such kind").has_value());
}

// Guards against advice to retry any request, now or later, although it may have run.
BOOST_AUTO_TEST_CASE(retry_of_any_request_requires_not_run) {
    for (const error_answer& answer : error_answers()) {
        const bool advises_any_retry =
            answer.advice == retry_advice::now || answer.advice == retry_advice::later;
        BOOST_TEST((!advises_any_retry || answer.execution == execution_state::not_run), answer.name);
    }
}

// Guards against an error with a status code that callers treat as success.
BOOST_AUTO_TEST_CASE(errors_have_http_error_status) {
    for (const error_answer& answer : error_answers().subspan(1)) {
        BOOST_TEST(answer.http_status >= 400, answer.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
