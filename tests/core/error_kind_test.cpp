#include "core/error_kind.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(error_kind_table)

// Guards against a kind whose name cannot travel between nodes and come back as the same kind.
BOOST_AUTO_TEST_CASE(every_name_parses_back) {
    for (const error_answer& answer : error_answers()) {
        BOOST_TEST((parse_error_kind(answer.name) == answer.kind), answer.name);
    }
    BOOST_TEST(!parse_error_kind("no such kind").has_value());
}

// Guards against advice to send a request again although it may have run.
BOOST_AUTO_TEST_CASE(immediate_retry_needs_proof_of_not_run) {
    for (const error_answer& answer : error_answers()) {
        const bool retries = answer.advice == retry_advice::now || answer.advice == retry_advice::later;
        BOOST_TEST((!retries || answer.execution == execution_state::not_run), answer.name);
    }
}

// Guards against an error that a caller takes for success.
BOOST_AUTO_TEST_CASE(errors_have_error_status) {
    for (const error_answer& answer : error_answers().subspan(1)) {
        BOOST_TEST(answer.http_status >= 400, answer.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
