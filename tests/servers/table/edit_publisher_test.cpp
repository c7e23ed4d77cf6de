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

struct fixture {
    std::shared_ptr<const table> base = std::make_shared<const table>();
    edit_publisher publisher{make_edit("mine", 0, {set_service("limits")}), base};
    table_replica replica;

    void other_edit() {
        replica.apply(replica.next_offset(), encode_record(make_edit("other", 0, {set_service("claims")})));
    }
};

// Guards against a verdict that is reported before the record was read back.
BOOST_FIXTURE_TEST_CASE(an_acknowledged_edit_is_accepted_when_read, fixture) {
    publisher.on_append({append_state::stored, 0, ""});
    publisher.on_read(replica, true);
    BOOST_TEST((publisher.next() == step::read));
    replica.apply(0, publisher.record());
    publisher.on_read(replica, false);
    BOOST_REQUIRE((publisher.next() == step::done));
    BOOST_TEST(std::get<publish_accepted>(publisher.result()).version == 1U);
}

// Guards against a loser of a race who is not told what changed.
BOOST_FIXTURE_TEST_CASE(a_lost_race_tells_what_changed, fixture) {
    other_edit();
    publisher.on_append({append_state::stored, 1, ""});
    replica.apply(1, publisher.record());
    publisher.on_read(replica, true);
    const auto verdict = std::get<publish_rejected>(publisher.result());
    BOOST_TEST(verdict.current_version == 1U);
    BOOST_REQUIRE(verdict.accepted_since.size() == 1);
    BOOST_TEST(verdict.accepted_since[0].edit_id == "other");
    BOOST_REQUIRE(verdict.changed_since_base.size() == 1);
    BOOST_TEST(verdict.changed_since_base[0].key == "claims/*");
}

// Guards against guessing after a lost acknowledgement: the edit is looked for, and appended again with
// the same id only when the end of the log does not show it.
BOOST_FIXTURE_TEST_CASE(a_lost_acknowledgement_is_resolved_by_reading, fixture) {
    publisher.on_append(unknown);
    publisher.on_read(replica, false);
    BOOST_TEST((publisher.next() == step::read));
    publisher.on_read(replica, true);
    BOOST_TEST((publisher.next() == step::append));
    publisher.on_append(unknown);
    replica.apply(0, publisher.record());
    replica.apply(1, publisher.record());
    publisher.on_read(replica, true);
    BOOST_TEST(std::get<publish_accepted>(publisher.result()).version == 1U);
}

// Guards against waiting for an edit that can no longer be accepted wherever it appears.
BOOST_FIXTURE_TEST_CASE(a_newer_version_refuses_a_lost_edit, fixture) {
    publisher.on_append(unknown);
    other_edit();
    publisher.on_read(replica, false);
    BOOST_TEST(std::holds_alternative<publish_rejected>(publisher.result()));
}

// Guards against a refusal that is claimed although the edit may still take effect.
BOOST_FIXTURE_TEST_CASE(an_unknown_append_ends_in_doubt, fixture) {
    publisher.on_append(unknown);
    publisher.give_up("timeout");
    const auto verdict = std::get<publish_in_doubt>(publisher.result());
    BOOST_TEST(verdict.resolution.find("mine") != std::string::npos);
}

// Guards against doubt that is claimed although nothing was stored, and against endless appends.
BOOST_FIXTURE_TEST_CASE(refused_appends_end_in_a_rejection, fixture) {
    for (int i = 0; i < edit_publisher::max_appends; ++i) {
        BOOST_TEST((publisher.next() == step::append));
        publisher.on_append(refused);
        publisher.on_read(replica, true);
    }
    BOOST_TEST(std::get<publish_rejected>(publisher.result()).reason.find("connection refused") !=
               std::string::npos);
}

// Guards against a false rejection when the own acceptance could have been forgotten.
BOOST_FIXTURE_TEST_CASE(forgotten_verdicts_leave_doubt, fixture) {
    for (std::size_t i = 0; i <= max_recent_edits; ++i) {
        replica.apply(i, encode_record(make_edit("e" + std::to_string(i), i, {set_service("limits")})));
    }
    publisher.on_append({append_state::stored, 0, ""});
    publisher.on_read(replica, true);
    BOOST_TEST(std::holds_alternative<publish_in_doubt>(publisher.result()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
