#include "servers/routing/target_search.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

struct attempt_step {
    std::string target;
    error_kind error;
};

struct search_case {
    const char* name;
    std::uint32_t free_slot_hops;
    std::vector<attempt_step> attempts;
    std::vector<std::string> excluded;
    bool may_queue;
    bool exhausted;
};

std::ostream& operator<<(std::ostream& out, const search_case& value) {
    return out << value.name;
}

constexpr auto full = error_kind::overloaded;
constexpr auto suspect = error_kind::target_suspect;
constexpr auto leaving = error_kind::target_leaving;

const std::vector<search_case> search_cases{
    {"the first attempt requires a free slot", 2, {}, {}, false, false},
    {"without free-slot hops the first attempt queues", 0, {}, {}, true, false},
    {"a full target is excluded from the next attempt", 2, {{"a", full}}, {"a"}, false, false},
    {"full targets may be retried for queueing", 2, {{"a", full}, {"b", full}}, {}, true, false},
    {"leaving and suspect targets stay excluded",
     2,
     {{"a", leaving}, {"b", suspect}},
     {"a", "b"},
     true,
     false},
    {"a target with a full queue is excluded", 1, {{"a", full}, {"a", full}}, {"a"}, true, false},
    {"the number of hops is bounded",
     1,
     {{"a", full}, {"b", full}, {"c", leaving}, {"d", leaving}},
     {"b", "c", "d"},
     true,
     true},
};

exchange_result failed_result(error_kind error) {
    return failed_exchange(error, "");
}

std::vector<std::string> sorted(std::span<const std::string> names) {
    std::vector<std::string> result(names.begin(), names.end());
    std::sort(result.begin(), result.end());
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(search_over_refusals)

// Guards against a request that is refused while another target has spare capacity, and against an unbounded
// search.
BOOST_DATA_TEST_CASE(refusals_advance_the_search, boost::unit_test::data::make(search_cases), row) {
    target_search search(row.free_slot_hops, 4);
    for (const attempt_step& step : row.attempts) {
        search.on_attempt_end(step.target, failed_result(step.error));
    }
    BOOST_TEST(sorted(search.excluded()) == row.excluded, boost::test_tools::per_element());
    BOOST_TEST(search.may_queue() == row.may_queue);
    BOOST_TEST(search.exhausted() == row.exhausted);
    BOOST_TEST(!search.is_last_resort());
}

// Guards against a refusal when only suspect targets are left, because a suspect target may still work.
BOOST_AUTO_TEST_CASE(suspect_targets_are_tried_last) {
    target_search search(1, 8);
    search.on_attempt_end("a", failed_result(suspect));
    search.on_attempt_end("b", failed_result(leaving));
    BOOST_TEST(search.relax_exclusions());
    BOOST_TEST(search.is_last_resort());
    BOOST_TEST(sorted(search.excluded()) == std::vector<std::string>{"b"}, boost::test_tools::per_element());
    BOOST_TEST(!search.relax_exclusions());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
