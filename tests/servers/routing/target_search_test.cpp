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
    {"first attempt asks for a free slot", 2, {}, {}, false, false},
    {"without free-slot hops the first attempt queues", 0, {}, {}, true, false},
    {"a full target is not asked again at once", 2, {{"a", full}}, {"a"}, false, false},
    {"full targets may be queued at", 2, {{"a", full}, {"b", full}}, {}, true, false},
    {"leaving and suspect targets may not", 2, {{"a", leaving}, {"b", suspect}}, {"a", "b"}, true, false},
    {"a queue that is full ends the target's turn", 1, {{"a", full}, {"a", full}}, {"a"}, true, false},
    {"the hops are bounded",
     1,
     {{"a", full}, {"b", full}, {"c", leaving}, {"d", leaving}},
     {"b", "c", "d"},
     true,
     true},
};

exchange_result failed(error_kind error) {
    return failed_exchange(error, "");
}

std::vector<std::string> sorted(std::span<const std::string> names) {
    std::vector<std::string> result(names.begin(), names.end());
    std::sort(result.begin(), result.end());
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(search_over_refusals)

// Guards against a request that is refused while another target has room, and against endless asking.
BOOST_DATA_TEST_CASE(refusals_direct_the_search, boost::unit_test::data::make(search_cases), row) {
    target_search search(row.free_slot_hops, 4);
    for (const attempt_step& step : row.attempts) {
        search.on_attempt(step.target, failed(step.error));
    }
    BOOST_TEST(sorted(search.excluded()) == row.excluded, boost::test_tools::per_element());
    BOOST_TEST(search.may_queue() == row.may_queue);
    BOOST_TEST(search.exhausted() == row.exhausted);
    BOOST_TEST(!search.is_last_resort());
}

// Guards against a refusal while suspect targets, which may well work, are the only ones left.
BOOST_AUTO_TEST_CASE(suspect_targets_are_the_last_resort) {
    target_search search(1, 8);
    search.on_attempt("a", failed(suspect));
    search.on_attempt("b", failed(leaving));
    BOOST_TEST(search.widen());
    BOOST_TEST(search.is_last_resort());
    BOOST_TEST(sorted(search.excluded()) == std::vector<std::string>{"b"}, boost::test_tools::per_element());
    BOOST_TEST(!search.widen());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
