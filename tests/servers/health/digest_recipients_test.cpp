#include "servers/health/digest_recipients.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <tuple>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(digests_between_zones)

using namespace std::chrono_literals;

struct service_layout {
    std::size_t zones;
    std::size_t gates_per_zone;

    [[nodiscard]] std::vector<digest_gate> other_gates() const {
        std::vector<digest_gate> gates;
        for (std::size_t zone = 0; zone < zones; ++zone) {
            for (std::size_t i = zone == 0 ? 1 : 0; i < gates_per_zone; ++i) {
                gates.push_back({{"10.0." + std::to_string(zone) + "." + std::to_string(i + 1), 8300},
                                 "z" + std::to_string(zone)});
            }
        }
        return gates;
    }
};

bool is_local(const endpoint& gate) {
    return gate.address.starts_with("10.0.0.");
}

const std::vector<std::tuple<std::size_t, std::size_t>> layouts{{4, 1}, {4, 2}, {3, 3}, {5, 27}};

// Pattern: a calm day with few targets of a service in each zone. Guards against digests that cross zones
// each second although no target looks suspicious, which were most of the bytes between zones of an idle
// fleet.
BOOST_DATA_TEST_CASE(calm_service_sends_nothing_to_other_zones, boost::unit_test::data::make(layouts), zones,
                     gates_per_zone) {
    manual_time_source clock;
    digest_recipients recipients(clock, "z0", 1);
    const auto gates = service_layout{zones, gates_per_zone}.other_gates();
    for (int second = 0; second < 60; ++second) {
        clock.advance(1s);
        const auto chosen = recipients.choose("s", gates, digest_occasion::periodic);
        BOOST_TEST(std::all_of(chosen.begin(), chosen.end(), is_local));
        BOOST_TEST(chosen.size() == std::min<std::size_t>(gates_per_zone - 1, 4));
    }
}

// Pattern: gray failures while a zone has one or two targets of the service. Guards against a gate that has
// nothing to compare a suspicious target with, and against a suspicion that floods the other zones.
BOOST_DATA_TEST_CASE(suspicious_target_is_compared_with_other_zones, boost::unit_test::data::make(layouts),
                     zones, gates_per_zone) {
    manual_time_source clock;
    digest_recipients recipients(clock, "z0", 1);
    const auto gates = service_layout{zones, gates_per_zone}.other_gates();
    std::size_t remote = 0;
    for (int round = 0; round < 100; ++round) {
        const auto chosen = recipients.choose("s", gates, digest_occasion::suspicious_target);
        remote += static_cast<std::size_t>(std::count_if(
            chosen.begin(), chosen.end(), [](const endpoint& gate) { return !is_local(gate); }));
        BOOST_TEST(chosen.size() >= std::min<std::size_t>(round == 0 ? 2 : gates_per_zone - 1, 8));
        clock.advance(100ms);
    }
    const std::size_t missing = gates_per_zone > 2 ? 0 : 3 - gates_per_zone;
    BOOST_TEST(remote == 10 * missing);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
