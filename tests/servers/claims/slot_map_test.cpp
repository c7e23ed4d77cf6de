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

/// Returns a map in which node a holds the slot at epoch 10 with the candidates b and c.
slot_map make_map_at_epoch_10() {
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

slot_assignment make_assignment(std::uint64_t previous, const node_identity& holder, bool planned = false) {
    return {
        .slot = slot, .previous_epoch = previous, .holder = holder, .candidates = {d}, .planned = planned};
}

const std::vector<record_case> record_cases{
    {"takeover by a candidate", make_assignment(10, b), b, false, 11, true},
    {"takeover by the second candidate", make_assignment(10, c), c, false, 11, true},
    {"takeover by another node", make_assignment(10, {"e", 1}), {"e", 1}, false, 11, false},
    {"takeover by a restarted candidate", make_assignment(10, {"b", 2}), {"b", 2}, false, 11, false},
    {"takeover on behalf of a candidate", make_assignment(10, b), c, false, 11, false},
    {"takeover of an older epoch", make_assignment(9, b), b, false, 11, false},
    {"first assignment of an assigned slot", make_assignment(0, b), b, false, 11, false},
    {"renewal by the holder", make_assignment(10, a), a, false, 11, true},
    {"renewal by a restarted holder", make_assignment(10, {"a", 2}), {"a", 2}, false, 11, false},
    {"planned change", make_assignment(10, {"e", 1}, true), {"e", 1}, false, 11, true},
    {"planned change of an older epoch", make_assignment(9, {"e", 1}, true), {"e", 1}, false, 11, false},
    {"planned change on behalf of another", make_assignment(10, {"e", 1}, true), a, false, 11, false},
    {"reset by an operator", make_assignment(10, {"e", 1}), {"operator", 1}, true, 11, true},
    {"reset of an older epoch", make_assignment(9, {"e", 1}), {"operator", 1}, true, 11, false},
    {"record with a lower offset than the current one", make_assignment(10, b), b, false, 9, false},
    {"holder is its own candidate", make_assignment(10, d), d, false, 11, false},
};

std::vector<eligible_node> make_nodes(std::size_t zones, std::size_t nodes) {
    std::vector<eligible_node> result;
    for (std::size_t i = 0; i < nodes; ++i) {
        result.push_back({{"n" + std::to_string(i), 1}, "z" + std::to_string(i % zones)});
    }
    return result;
}

struct zone_case {
    std::size_t zones;
    std::size_t nodes;
    std::size_t candidates;
    std::size_t distinct_zones;  ///< Number of zones of the holder and candidates together.
};

std::ostream& operator<<(std::ostream& out, const zone_case& value) {
    return out << value.nodes << " nodes in " << value.zones << " zones";
}

constexpr zone_case zone_cases[] = {{3, 9, 2, 3}, {2, 6, 2, 2}, {1, 4, 2, 1}, {3, 2, 1, 2}, {1, 1, 0, 1}};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_assignments)

// Guards against readers that disagree on whether a record is valid, and against a node that takes a slot
// over without being one of its candidates.
BOOST_DATA_TEST_CASE(records_are_validated, record_cases, sample) {
    slot_map map = make_map_at_epoch_10();
    BOOST_TEST(map.apply(to_wire(sample.next), sample.appender, sample.reset, sample.offset).ok() ==
               sample.accepted);
    BOOST_TEST(map.find(slot)->epoch == (sample.accepted ? 11U : 10U));
    BOOST_TEST((map.find(slot)->holder == (sample.accepted ? sample.next.holder : a)));
}

// Guards against a snapshot that restores an older assignment or loses part of one.
BOOST_AUTO_TEST_CASE(snapshots_do_not_restore_older_assignments) {
    slot_map map = make_map_at_epoch_10();
    const std::vector<slot_assignment> old_assignments = map.assignments();
    BOOST_REQUIRE(map.apply(to_wire(make_assignment(10, b)), b, false, 11).ok());
    map.merge_newer(old_assignments);
    BOOST_TEST(map.find(slot)->epoch == 11U);
    slot_map other;
    for (const slot_assignment& next : map.assignments()) {
        const slot_assignment copy = from_wire(to_wire(next));
        other.merge_newer(std::span(&copy, 1));
    }
    BOOST_TEST((other.assignments() == map.assignments()));
}

// Guards against candidates in the zone of the holder although another zone has nodes.
BOOST_DATA_TEST_CASE(candidates_are_in_different_zones, zone_cases, sample) {
    const std::vector<eligible_node> nodes = make_nodes(sample.zones, sample.nodes);
    for (std::uint32_t i = 0; i < slots_per_service; ++i) {
        const assignment_proposal proposal = propose_assignment({"limits", i}, nodes);
        BOOST_TEST(proposal.candidates.size() == sample.candidates);
        std::set<std::string> zones;
        std::set<std::string> names{proposal.holder.name};
        for (const eligible_node& eligible : nodes) {
            const auto& proposed = proposal.candidates;
            if (eligible.node == proposal.holder ||
                std::find(proposed.begin(), proposed.end(), eligible.node) != proposed.end()) {
                zones.insert(eligible.availability_zone);
                names.insert(eligible.node.name);
            }
        }
        BOOST_TEST(zones.size() == sample.distinct_zones);
        BOOST_TEST(names.size() == sample.candidates + 1);
    }
}

// Guards against a mapping of keys to slots that changes between versions or uses few of the slots.
BOOST_AUTO_TEST_CASE(keys_are_distributed_over_all_slots) {
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
