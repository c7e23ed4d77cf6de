#include "servers/table/edit_publisher.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <variant>

#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

using namespace table_tests;
using step = edit_publisher::step;

BOOST_AUTO_TEST_SUITE(publisher)

const append_outcome unknown{append_state::unknown, 0, "no answer"};
const append_outcome refused{append_state::refused, 0, "connection refused"};

struct publisher_fixture {
    std::shared_ptr<const table> base = std::make_shared<const table>();
    edit_publisher publisher{make_edit("mine", 0, {set_service("limits")}), base};
    table_replica replica;

    void apply_concurrent_edit() {
        replica.apply(replica.next_offset(), encode_record(make_edit("other", 0, {set_service("claims")})));
    }
};

// Guards against an acceptance that is reported before the record was read back from the log.
BOOST_FIXTURE_TEST_CASE(acknowledged_edit_is_accepted_after_reading, publisher_fixture) {
    publisher.on_append_outcome({append_state::stored, 0, ""});
    publisher.on_records_read(replica, true);
    BOOST_TEST((publisher.next_step() == step::read));
    replica.apply(0, publisher.record());
    publisher.on_records_read(replica, false);
    BOOST_REQUIRE((publisher.next_step() == step::done));
    BOOST_TEST(std::get<publish_accepted>(publisher.result()).version == 1U);
}

// Guards against a rejection after a concurrent edit that does not report what changed.
BOOST_FIXTURE_TEST_CASE(rejected_edit_reports_the_concurrent_changes, publisher_fixture) {
    apply_concurrent_edit();
    publisher.on_append_outcome({append_state::stored, 1, ""});
    replica.apply(1, publisher.record());
    publisher.on_records_read(replica, true);
    const auto verdict = std::get<publish_rejected>(publisher.result());
    BOOST_TEST(verdict.current_version == 1U);
    BOOST_REQUIRE(verdict.accepted_since.size() == 1);
    BOOST_TEST(verdict.accepted_since[0].edit_id == "other");
    BOOST_REQUIRE(verdict.changed_since_base.size() == 1);
    BOOST_TEST(verdict.changed_since_base[0].key == "claims/*");
}

// Guards against assuming an outcome after a lost acknowledgement: the edit must be searched, and appended
// again with the same id only if it is not found up to the end of the log.
BOOST_FIXTURE_TEST_CASE(lost_acknowledgement_is_resolved_by_reading, publisher_fixture) {
    publisher.on_append_outcome(unknown);
    publisher.on_records_read(replica, false);
    BOOST_TEST((publisher.next_step() == step::read));
    publisher.on_records_read(replica, true);
    BOOST_TEST((publisher.next_step() == step::append));
    publisher.on_append_outcome(unknown);
    replica.apply(0, publisher.record());
    replica.apply(1, publisher.record());
    publisher.on_records_read(replica, true);
    BOOST_TEST(std::get<publish_accepted>(publisher.result()).version == 1U);
}

// Guards against waiting for an edit that can no longer be accepted at any offset.
BOOST_FIXTURE_TEST_CASE(newer_version_rejects_an_unacknowledged_edit, publisher_fixture) {
    publisher.on_append_outcome(unknown);
    apply_concurrent_edit();
    publisher.on_records_read(replica, false);
    BOOST_TEST(std::holds_alternative<publish_rejected>(publisher.result()));
}

// Guards against a reported rejection although the edit may still take effect.
BOOST_FIXTURE_TEST_CASE(unacknowledged_append_ends_in_doubt, publisher_fixture) {
    publisher.on_append_outcome(unknown);
    publisher.give_up("timeout");
    const auto verdict = std::get<publish_in_doubt>(publisher.result());
    BOOST_TEST(verdict.resolution.find("mine") != std::string::npos);
}

// Guards against a reported doubt although nothing was stored, and against unlimited appends.
BOOST_FIXTURE_TEST_CASE(refused_appends_end_in_a_rejection, publisher_fixture) {
    for (int i = 0; i < edit_publisher::max_appends; ++i) {
        BOOST_TEST((publisher.next_step() == step::append));
        publisher.on_append_outcome(refused);
        publisher.on_records_read(replica, true);
    }
    BOOST_TEST(std::get<publish_rejected>(publisher.result()).reason.find("connection refused") !=
               std::string::npos);
}

// Guards against a false rejection when the acceptance of the edit may have left the recent edits.
BOOST_FIXTURE_TEST_CASE(missing_recent_edits_end_in_doubt, publisher_fixture) {
    for (std::size_t i = 0; i <= max_recent_edits; ++i) {
        replica.apply(i, encode_record(make_edit("e" + std::to_string(i), i, {set_service("limits")})));
    }
    publisher.on_append_outcome({append_state::stored, 0, ""});
    publisher.on_records_read(replica, true);
    BOOST_TEST(std::holds_alternative<publish_in_doubt>(publisher.result()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
