#include "servers/admission/key_trust.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct trust_case {
    std::string name;
    bool fail_closed;
    std::chrono::milliseconds contact_at;     ///< Since the start.
    std::chrono::milliseconds after_contact;  ///< Moment of the check.
    bool accepts;
};

std::ostream& operator<<(std::ostream& out, const trust_case& value) {
    return out << value.name;
}

const std::vector<trust_case> trust_cases{
    {"open node without contact for an hour", false, 0ms, 3'600'000ms, true},
    {"closed node just after the start", true, 0ms, 4'999ms, true},
    {"closed node that never had contact", true, 0ms, 5'000ms, false},
    {"closed node with contact in time", true, 4'000ms, 4'999ms, true},
    {"closed node that lost contact", true, 4'000ms, 5'000ms, false},
    {"closed node that finds contact again", true, 60'000ms, 1ms, true},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(key_trust_tests)

// Guards against a cut-off node that accepts a withdrawn key where the deployment forbids it, and against one
// that refuses keys where the deployment does not.
BOOST_DATA_TEST_CASE(keys_are_accepted_while_contact_is_recent, boost::unit_test::data::make(trust_cases),
                     row) {
    manual_time_source clock;
    key_trust trust(clock, {.fail_closed = row.fail_closed, .revoke_after = 5'000ms});
    clock.advance(row.contact_at);
    trust.on_contact();
    clock.advance(row.after_contact);
    BOOST_TEST(trust.accepts_keys() == row.accepts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
