#include "servers/table/table_replica.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "servers/table/snapshot_codec.h"
#include "servers/table/table_csv.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

namespace data = boost::unit_test::data;
using namespace table_tests;

std::ostream& operator<<(std::ostream& out, record_outcome outcome) {
    return out << to_string(outcome);
}

BOOST_AUTO_TEST_SUITE(replica)

const std::string first_edit = encode_record(make_edit("e1", 0, {set_service("limits")}));

std::string peer_snapshot(std::uint64_t version, std::uint64_t as_of) {
    wire::Snapshot snapshot;
    snapshot.set_version(version);
    snapshot.set_as_of(as_of);
    *snapshot.add_rows() = to_wire(set_service("old").row);
    return snapshot.SerializeAsString();
}

std::string snapshot_record(std::uint64_t version, std::uint64_t as_of) {
    return encode_snapshot_record(peer_snapshot(version, as_of));
}

std::string invalid_snapshot() {
    wire::Snapshot snapshot;
    snapshot.set_version(1);
    snapshot.set_as_of(1);
    *snapshot.add_rows() = to_wire(set_route("*", "/", "unknown").row);
    return snapshot.SerializeAsString();
}

struct record_case {
    std::string name;
    std::vector<std::string> records;  // Applied starting at offset 0.
    record_outcome last;
    std::uint64_t version;
    std::string reason;  // Prefix of the reason of the last record.
};

std::ostream& operator<<(std::ostream& out, const record_case& value) {
    return out << value.name;
}

std::string edit(const std::string& id, std::uint64_t base, const std::vector<row_change>& changes) {
    return encode_record(make_edit(id, base, changes));
}

const std::vector<record_case> records{
    {"first edit", {first_edit}, record_outcome::accepted, 1, ""},
    {"two edits with the same base",
     {first_edit, edit("e2", 0, {set_service("claims")})},
     record_outcome::rejected,
     1,
     "stale_base: the edit builds on version 0, the current version is 1"},
    {"edit on the new base",
     {first_edit, edit("e2", 1, {set_service("claims")})},
     record_outcome::accepted,
     2,
     ""},
    {"base above the current version",
     {edit("e1", 5, {set_service("claims")})},
     record_outcome::rejected,
     0,
     "stale_base"},
    {"repeated append", {first_edit, first_edit}, record_outcome::ignored, 1, "the edit was assessed before"},
    {"id of another edit",
     {first_edit, edit("e1", 1, {set_service("claims")})},
     record_outcome::ignored,
     1,
     "the edit was assessed before"},
    {"rejected id on a new base",
     {edit("e1", 1, {set_service("x")}), first_edit},
     record_outcome::ignored,
     0,
     "the edit was assessed before: stale_base"},
    {"edit without id", {edit("", 0, {set_service("x")})}, record_outcome::rejected, 0, "the edit has no id"},
    {"edit without changes", {edit("e1", 0, {})}, record_outcome::rejected, 0, "invalid_table"},
    {"invalid edit",
     {edit("e1", 0, {set_route("*", "/", "x")})},
     record_outcome::rejected,
     0,
     "invalid_table"},
    {"garbage",
     {first_edit, "\xff\xff\xff"},
     record_outcome::rejected,
     1,
     "the record is not valid protobuf"},
    {"empty record", {first_edit, ""}, record_outcome::rejected, 1, "the record has no known kind"},
    {"edit after garbage", {"\xff", edit("e1", 0, {set_service("x")})}, record_outcome::accepted, 2, ""},
    {"old snapshot",
     {first_edit, snapshot_record(0, 0)},
     record_outcome::ignored,
     1,
     "the snapshot reflects"},
    {"snapshot of later records",
     {first_edit, snapshot_record(9, 9)},
     record_outcome::rejected,
     1,
     "the snapshot"},
};

// Guards against replicas that apply rules differently, and against an invalid record that stops a replica.
BOOST_DATA_TEST_CASE(records_have_the_expected_outcome, data::make(records), sample) {
    table_replica replica;
    apply_result last;
    for (std::size_t offset = 0; offset < sample.records.size(); ++offset) {
        last = replica.apply(offset, sample.records[offset]);
    }
    BOOST_TEST(last.outcome == sample.last);
    BOOST_TEST(last.reason.substr(0, sample.reason.size()) == sample.reason);
    BOOST_TEST(replica.version() == sample.version);
    BOOST_TEST(replica.next_offset() == sample.records.size());
    BOOST_TEST(replica.complete());
}

// Guards against a verdict on an edit while the version of its base may be missing.
BOOST_AUTO_TEST_CASE(truncated_log_requires_a_snapshot) {
    table_replica replica;
    replica.skip_truncated(10);
    BOOST_TEST(!replica.complete());
    BOOST_TEST(replica.apply(10, first_edit).outcome == record_outcome::not_judged);
    BOOST_TEST(replica.apply(11, snapshot_record(4, 9)).outcome == record_outcome::adopted);
    BOOST_TEST(replica.version() == 4);
    // Offset 9 is lost, so a gap remains.
    BOOST_TEST(replica.next_offset() == 9);
    replica.skip_truncated(10);
    BOOST_TEST(replica.apply(10, edit("e1", 4, {set_service("x")})).outcome == record_outcome::not_judged);
    BOOST_TEST(replica.apply(11, snapshot_record(4, 9)).outcome == record_outcome::ignored);
    BOOST_TEST(replica.apply(12, snapshot_record(4, 12)).outcome == record_outcome::adopted);
    BOOST_TEST(replica.apply(12, edit("e2", 4, {set_service("x")})).outcome == record_outcome::accepted);
    BOOST_TEST(replica.version() == 13);
    BOOST_TEST(replica.complete());
}

// Guards against an undetected gap, and against processing a record twice.
BOOST_AUTO_TEST_CASE(records_are_applied_in_order) {
    table_replica replica;
    BOOST_TEST(replica.apply(1, first_edit).outcome == record_outcome::out_of_order);
    BOOST_TEST(replica.apply(0, first_edit).outcome == record_outcome::accepted);
    BOOST_TEST(replica.apply(0, edit("e2", 1, {set_service("x")})).outcome == record_outcome::ignored);
    BOOST_TEST(replica.version() == 1);
}

// Guards against adopting a peer's snapshot that has an older version or is invalid.
BOOST_AUTO_TEST_CASE(peer_snapshots_never_decrease_the_version) {
    table_replica replica;
    BOOST_TEST(replica.adopt_snapshot(peer_snapshot(5, 8)).outcome == record_outcome::adopted);
    BOOST_TEST(replica.adopt_snapshot(peer_snapshot(4, 9)).outcome == record_outcome::ignored);
    BOOST_TEST(replica.adopt_snapshot(peer_snapshot(5, 7)).outcome == record_outcome::ignored);
    BOOST_TEST(table_replica().adopt_snapshot(invalid_snapshot()).outcome == record_outcome::rejected);
    BOOST_TEST(replica.version() == 5);
    BOOST_TEST(replica.next_offset() == 8);
}

// Guards against a truncated snapshot that stops a replica or is adopted in part.
BOOST_AUTO_TEST_CASE(truncated_snapshot_is_rejected) {
    table_replica source;
    source.apply(0, edit("e1", 0, {set_service("limits"), set_route("*", "/x", "limits")}));
    const std::string whole = source.make_snapshot();
    wire::Snapshot parsed;
    BOOST_REQUIRE(parsed.ParseFromString(whole));
    BOOST_TEST((parsed.SerializeAsString() == whole));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        table_replica replica;
        const std::string part = whole.substr(0, size);
        const apply_result result = replica.adopt_snapshot(part);
        const bool parses = parsed.ParseFromString(part);
        BOOST_TEST((result.outcome == record_outcome::adopted) <= parses);
        BOOST_TEST(replica.apply(0, encode_snapshot_record(whole).substr(0, size + 2)).table_changed ==
                   false);
    }
    table_replica replica;
    BOOST_TEST(replica.adopt_snapshot(whole).outcome == record_outcome::adopted);
    BOOST_TEST(replica.make_snapshot() == whole);
}

// Guards against a snapshot without verdicts, after which a duplicate append counts as a new edit.
BOOST_AUTO_TEST_CASE(snapshots_contain_the_whole_state) {
    table_replica first;
    first.apply(0, first_edit);
    first.apply(1, edit("e2", 0, {set_service("x")}));
    first.apply(2, encode_record(make_slot_change(0, "a", "b", "a")));
    table_replica second;
    second.adopt_snapshot(first.make_snapshot());
    BOOST_TEST(second.make_snapshot() == first.make_snapshot());
    BOOST_TEST(write_table_csv(*second.current()) == write_table_csv(*first.current()));
    BOOST_TEST((*second.find_edit("e2") == *first.find_edit("e2")));
    BOOST_TEST(second.slots().find({"limits", 3})->epoch == 3U);
}

// Guards against memory that grows with the number of edits.
BOOST_AUTO_TEST_CASE(recent_edits_and_records_are_bounded) {
    table_replica replica;
    const std::size_t count = max_recent_edits + 10;
    for (std::size_t i = 0; i < count; ++i) {
        replica.apply(i, edit("e" + std::to_string(i), i, {set_service("limits", 1 + i % 2)}));
    }
    BOOST_TEST(replica.version() == count);
    BOOST_TEST(replica.recent_edits().size() == max_recent_edits);
    BOOST_TEST(replica.find_edit("e9") == nullptr);
    BOOST_TEST(replica.find_edit("e10")->version == 11U);
    BOOST_TEST(replica.find_edit("e" + std::to_string(count - 1))->version == count);
    BOOST_TEST(!replica.records_since(9).has_value());
    BOOST_TEST(replica.records_since(10)->size() == max_recent_records);
}

// Guards against missing records between the offset of a peer and the records that it receives.
BOOST_AUTO_TEST_CASE(records_since_continue_at_the_offset_of_a_peer) {
    table_replica replica;
    replica.apply(0, first_edit);
    replica.apply(1, edit("e2", 1, {set_service("claims")}));
    replica.apply(2, encode_snapshot_record(replica.make_snapshot()));
    table_replica peer;
    peer.apply(0, first_edit);
    const auto records = replica.records_since(peer.next_offset());
    BOOST_REQUIRE(records.has_value());
    for (const wire::StoredRecord& record : *records) {
        peer.apply(record.offset(), record.payload());
    }
    BOOST_TEST(peer.version() == 2);
    BOOST_TEST(peer.next_offset() == 3);
    BOOST_TEST(replica.records_since(3)->empty());
    table_replica adopted;
    adopted.adopt_snapshot(replica.make_snapshot());
    BOOST_TEST(!adopted.records_since(1).has_value());
}

struct slot_case {
    std::string name;
    wire::SlotChange change;
    std::string holder;  // Holder after the change.
};

std::ostream& operator<<(std::ostream& out, const slot_case& value) {
    return out << value.name;
}

wire::SlotChange planned(wire::SlotChange change) {
    change.mutable_assignments(0)->set_planned(true);
    return change;
}

wire::SlotChange reset(wire::SlotChange change) {
    change.set_reset(true);
    return change;
}

wire::SlotChange with_incarnation(wire::SlotChange change) {
    change.mutable_appender()->set_incarnation(2);
    change.mutable_assignments(0)->mutable_holder()->set_incarnation(2);
    return change;
}

wire::SlotChange with_slot(wire::SlotChange change, std::uint32_t slot) {
    change.mutable_assignments(0)->set_slot(slot);
    return change;
}

// The current holder of the slot is "a" with epoch 1 and candidate "b".
const std::vector<slot_case> slot_changes{
    {"takeover by the candidate", make_slot_change(1, "b", "c", "b"), "b"},
    {"takeover with an old epoch", make_slot_change(0, "b", "c", "b"), "a"},
    {"takeover with the record's offset as epoch", make_slot_change(2, "b", "c", "b"), "a"},
    {"takeover by no candidate", make_slot_change(1, "c", "b", "c"), "a"},
    {"takeover by a restarted candidate", with_incarnation(make_slot_change(1, "b", "c", "b")), "a"},
    {"candidate appoints another", make_slot_change(1, "c", "b", "b"), "a"},
    {"other appoints the candidate", make_slot_change(1, "b", "c", "c"), "a"},
    {"planned change", planned(make_slot_change(1, "c", "b", "c")), "c"},
    {"planned change with an old epoch", planned(make_slot_change(0, "c", "b", "c")), "a"},
    {"reset by an operator", reset(make_slot_change(1, "d", "e", "operator")), "d"},
    {"reset with an old epoch", reset(make_slot_change(0, "d", "e", "operator")), "a"},
    {"slot out of range", with_slot(planned(make_slot_change(0, "b", "c", "b")), 16), "a"},
    {"no holder", planned(make_slot_change(1, "", "c", "b")), "a"},
};

// Guards against two holders of the same slot.
BOOST_DATA_TEST_CASE(slot_changes_follow_the_rules, data::make(slot_changes), sample) {
    table_replica replica;
    replica.apply(0, encode_record(make_slot_change(0, "a", "b", "a")));
    BOOST_REQUIRE(replica.slots().find({"limits", 3})->epoch == 1U);
    const apply_result result = replica.apply(1, encode_record(sample.change));
    const slot_assignment& current = *replica.slots().find({"limits", 3});
    const bool accepted = sample.holder != "a";
    BOOST_TEST(current.holder.name == sample.holder);
    BOOST_TEST(current.epoch == (accepted ? 2U : 1U));
    BOOST_TEST(result.outcome == (accepted ? record_outcome::accepted : record_outcome::rejected));
    BOOST_TEST(result.new_assignments.size() == (accepted ? 1U : 0U));
    BOOST_TEST(result.reason.empty() == accepted);
    BOOST_TEST(replica.slots().assignments().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
