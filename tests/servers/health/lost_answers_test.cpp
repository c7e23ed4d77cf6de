#include "servers/health/lost_answers.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

namespace teaselpitch {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(lost_answer_records)

// Guards against lost answers that are attributed to another target or incarnation, or twice.
BOOST_AUTO_TEST_CASE(each_is_taken_once_by_its_own_incarnation) {
    manual_time_source clock;
    lost_answers lost(clock);
    lost.add({{"a", 1}, "files", 10});
    lost.add({{"a", 2}, "files", 11});
    lost.add({{"b", 1}, "files", 12});
    const std::vector<lost_answer> taken = lost.take({"a", 1});
    BOOST_REQUIRE_EQUAL(taken.size(), 1U);
    BOOST_TEST(taken[0].fingerprint == 10U);
    BOOST_TEST(lost.take({"a", 1}).empty());
    BOOST_TEST(lost.size() == 2U);
}

// Guards against an old lost answer that counts as a crash when the target is replaced much later.
BOOST_AUTO_TEST_CASE(old_ones_are_forgotten) {
    manual_time_source clock;
    lost_answers lost(clock);
    lost.add({{"a", 1}, "files", 10});
    clock.advance(11s);
    BOOST_TEST(lost.take({"a", 1}).empty());
}

// Guards against memory that grows while a target loses all its answers.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    manual_time_source clock;
    lost_answers lost(clock, {.max_answers = 16});
    for (std::uint64_t i = 0; i < 100; ++i) {
        lost.add({{"a", 1}, "files", i});
    }
    BOOST_TEST(lost.size() == 16U);
    BOOST_TEST(lost.take({"a", 1}).back().fingerprint == 99U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
