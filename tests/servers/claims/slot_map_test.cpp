#include "servers/claims/slot_map.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <string>

namespace teaselpitch {
namespace {

const slot_id slot{"limits", 7};
const node_identity a{"a", 1};
const node_identity b{"b", 1};
const node_identity c{"c", 1};
const node_identity d{"d", 1};

/// At epoch 10 node a holds the slot, b and c are its candidates.
slot_map map_at_10() {
    slot_map map;
    const slot_assignment first{.slot = slot, .holder = a, .candidates = {b, c}};
    BOOST_REQUIRE(map.apply(to_wire(first), a, false, 10).ok());
    return map;
}

struct record_case {
    const char* name;
    slot_assignment next;
    node_identity appender;
    bool reset;
    std::uint64_t offset;
    bool accepted;
};

std::ostream& operator<<(std::ostream& out, const record_case& value) {
    return out << value.name;
}

slot_assignment assignment(std::uint64_t previous, const node_identity& holder, bool planned = false) {
    return {
        .slot = slot, .previous_epoch = previous, .holder = holder, .candidates = {d}, .planned = planned};
}

const std::vector<record_case> record_cases{
    {"takeover by a candidate", assignment(10, b), b, false, 11, true},
    {"takeover by the second candidate", assignment(10, c), c, false, 11, true},
    {"takeover by another node", assignment(10, {"e", 1}), {"e", 1}, false, 11, false},
    {"takeover by a restarted candidate", assignment(10, {"b", 2}), {"b", 2}, false, 11, false},
    {"takeover on behalf of a candidate", assignment(10, b), c, false, 11, false},
    {"takeover of an older epoch", assignment(9, b), b, false, 11, false},
    {"second first assignment", assignment(0, b), b, false, 11, false},
    {"renewal by the holder", assignment(10, a), a, false, 11, true},
    {"renewal by a restarted holder", assignment(10, {"a", 2}), {"a", 2}, false, 11, false},
    {"planned change", assignment(10, {"e", 1}, true), {"e", 1}, false, 11, true},
    {"planned change of an older epoch", assignment(9, {"e", 1}, true), {"e", 1}, false, 11, false},
    {"planned change on behalf of another", assignment(10, {"e", 1}, true), a, false, 11, false},
    {"reset by an operator", assignment(10, {"e", 1}), {"operator", 1}, true, 11, true},
    {"reset of an older epoch", assignment(9, {"e", 1}), {"operator", 1}, true, 11, false},
    {"record before the current one", assignment(10, b), b, false, 9, false},
    {"holder among its candidates", assignment(10, d), d, false, 11, false},
};

std::vector<node_place> places(std::size_t zones, std::size_t nodes) {
    std::vector<node_place> result;
    for (std::size_t i = 0; i < nodes; ++i) {
        result.push_back({{"n" + std::to_string(i), 1}, "z" + std::to_string(i % zones)});
    }
    return result;
}

struct zone_case {
    std::size_t zones;
    std::size_t nodes;
    std::size_t candidates;
    std::size_t distinct_zones;  ///< Of holder and candidates together.
};

std::ostream& operator<<(std::ostream& out, const zone_case& value) {
    return out << value.nodes << " nodes in " << value.zones << " zones";
}

constexpr zone_case zone_cases[] = {{3, 9, 2, 3}, {2, 6, 2, 2}, {1, 4, 2, 1}, {3, 2, 1, 2}, {1, 1, 0, 1}};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_assignments)

// Guards against readers that accept a record which others reject, and against a node that takes a
// slot over without being named for it.
BOOST_DATA_TEST_CASE(rules_of_records, record_cases, sample) {
    slot_map map = map_at_10();
    BOOST_TEST(map.apply(to_wire(sample.next), sample.appender, sample.reset, sample.offset).ok() ==
               sample.accepted);
    BOOST_TEST(map.find(slot)->epoch == (sample.accepted ? 11U : 10U));
    BOOST_TEST((map.find(slot)->holder == (sample.accepted ? sample.next.holder : a)));
}

// Guards against a snapshot that brings an older assignment back, or loses a part of one.
BOOST_AUTO_TEST_CASE(snapshots_never_go_back) {
    slot_map map = map_at_10();
    const std::vector<slot_assignment> old = map.all();
    BOOST_REQUIRE(map.apply(to_wire(assignment(10, b)), b, false, 11).ok());
    map.adopt(old);
    BOOST_TEST(map.find(slot)->epoch == 11U);
    slot_map other;
    for (const slot_assignment& next : map.all()) {
        const slot_assignment copy = from_wire(to_wire(next));
        other.adopt(std::span(&copy, 1));
    }
    BOOST_TEST((other.all() == map.all()));
}

// Guards against candidates that fail together with the holder although another zone has nodes.
BOOST_DATA_TEST_CASE(candidates_are_in_other_zones, zone_cases, sample) {
    const std::vector<node_place> nodes = places(sample.zones, sample.nodes);
    for (std::uint32_t i = 0; i < slots_per_service; ++i) {
        const slot_proposal proposal = propose_assignment({"limits", i}, nodes);
        BOOST_TEST(proposal.candidates.size() == sample.candidates);
        std::set<std::string> zones;
        std::set<std::string> names{proposal.holder.name};
        for (const node_place& place : nodes) {
            const auto& list = proposal.candidates;
            if (place.node == proposal.holder ||
                std::find(list.begin(), list.end(), place.node) != list.end()) {
                zones.insert(place.availability_zone);
                names.insert(place.node.name);
            }
        }
        BOOST_TEST(zones.size() == sample.distinct_zones);
        BOOST_TEST(names.size() == sample.candidates + 1);
    }
}

// Guards against a change of the partition between versions or keys that all fall into few slots.
BOOST_AUTO_TEST_CASE(keys_spread_over_all_slots) {
    std::vector<int> counts(slots_per_service);
    for (int i = 0; i < 16'000; ++i) {
        ++counts[slot_of_key(scoped_key("account", std::to_string(i)))];
    }
    for (const int count : counts) {
        BOOST_TEST(count > 800);
        BOOST_TEST(count < 1'200);
    }
    BOOST_TEST(slot_of_key(scoped_key("account", "order-1")) == 3U);
    BOOST_TEST(scoped_key("ab", "c") != scoped_key("a", "bc"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
