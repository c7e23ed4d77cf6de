#include "modules/node/service_router.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(service_router_tests)

// Guards against a warm-up setting that the chooser applies and the ejector ignores. In that case the floor
// counts no target as in service for 10 s, and no target with a gray failure is ejected in that time.
BOOST_DATA_TEST_CASE(ejector_applies_the_warm_up_setting, boost::unit_test::data::make({1, 3, 20}), seconds) {
    manual_time_source clock;
    decision_log decisions(clock, 16);
    const std::chrono::seconds warm_up(seconds);
    service_router router(clock, "vitrine", {.local_zone = "caxias", .warm_up = warm_up}, 1, decisions,
                          [] {});
    router.on_rules({.zones = {{.zone = "", .floor_share = 0.6}}});
    registered_target target{.identity = {"a", 1}, .node = "caxias-1", .zone = "caxias", .slots = 4};
    target.ready_since = clock.now();
    router.on_targets({target});
    clock.advance(warm_up - 100ms);
    router.on_tick();
    BOOST_TEST(router.ejections().floors().at(0).in_service == 0);
    clock.advance(200ms);
    router.on_tick();
    BOOST_TEST(router.ejections().floors().at(0).in_service == 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
