#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include "core/json.h"
#include "main/ctl/publish_run.h"
#include "servers/table/table_csv.h"
#include "tests/drivers/log/log_server_fixture.h"
#include "tests/main/ctl/ctl_run.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using namespace table_tests;
using outage_kind = standin_log_faults::outage_kind;

BOOST_AUTO_TEST_SUITE(table_commands)

std::string text_of(std::uint64_t version, const std::vector<row_change>& rows) {
    return write_table_csv(table().with_changes(rows, version));
}

struct fixture {
    log_server_fixture log;
    scratch_folder folder;

    ctl_result table_command(std::vector<std::string> arguments) {
        return run_table(log.address(), std::move(arguments));
    }

    // Publishes version 1: the service limits with a floor of 60.
    void publish_first() {
        const auto file = folder.write("first.csv", text_of(0, {set_service("limits")}));
        BOOST_REQUIRE(table_command({"publish", file, "--author", "ana"}).status == 0);
    }
};

// Guards against a published table that comes back different, as text or as JSON.
BOOST_FIXTURE_TEST_CASE(a_published_table_is_shown, fixture) {
    publish_first();
    BOOST_TEST(table_command({"show"}).out == text_of(1, {set_service("limits")}));
    const auto shown = boost::json::parse(table_command({"show", "--output", "json"}).out);
    BOOST_TEST(shown.at("version").to_number<int>() == 1);
    BOOST_TEST(shown.at("service").at(0).at("floor").to_number<int>() == 60);
    BOOST_TEST(table_command({"get", "service", "limits"}).says("floor=60"));
    BOOST_TEST(table_command({"get", "service", "limits", "seq-bne"}).status == 1);
    BOOST_TEST(table_command({"show", "--at", "7"}).status == 1);
}

// Guards against two accepted edits on one base, and against a loser who is not told what changed.
BOOST_FIXTURE_TEST_CASE(of_two_operators_one_wins, fixture) {
    publish_first();
    const auto file = [this](const std::string& name, std::uint32_t weight) {
        return folder.write(name, text_of(1, {set_service("limits", weight)}));
    };
    const std::vector<std::string> files{file("ana.csv", 10), file("bia.csv", 20)};
    std::vector<std::future<ctl_result>> running;
    running.reserve(files.size());
    for (const std::string& path : files) {
        running.push_back(std::async(std::launch::async, [this, path] {
            return table_command({"publish", path, "--author", path});
        }));
    }
    const std::vector<ctl_result> results{running[0].get(), running[1].get()};
    const std::size_t loser = results[0].status == 3 ? 0 : 1;
    BOOST_TEST(results[1 - loser].status == 0);
    BOOST_TEST(results[loser].status == 3);
    BOOST_TEST(results[loser].says("stale_base"));
    BOOST_TEST(results[loser].says("by " + files[1 - loser]));
    const std::string line = loser == 0 ? "weight  100   10     20" : "weight  100   20     10";
    BOOST_TEST(results[loser].says("service limits/*  " + line));
    BOOST_TEST(results[loser].says("the edit stays in " + files[loser]));
    BOOST_TEST(table_command({"get", "service", "limits"}).says(loser == 0 ? "weight=20" : "weight=10"));
}

// Guards against an edit that is reported as failed or applied twice when its acknowledgement is lost.
BOOST_FIXTURE_TEST_CASE(a_lost_acknowledgement_is_resolved, fixture) {
    publish_first();
    log.set_faults({outage_kind::none, 0ms, 1, 0});
    const ctl_result result =
        table_command({"set", "service", "limits", "*", "floor=70", "--output", "json"});
    BOOST_TEST(result.status == 0);
    BOOST_TEST(boost::json::parse(result.out).at("version").to_number<int>() == 2);
    BOOST_TEST(log.end_offset() == 2);
}

ctl_context context_for(std::ostream& out, std::ostream& err, double timeout_s) {
    ctl_context context{out, err};
    context.log_timeout_s = timeout_s;
    return context;
}

// Guards against a verdict that is guessed when the log goes away after the edit was sent.
BOOST_FIXTURE_TEST_CASE(an_outage_after_sending_leaves_doubt, fixture) {
    publish_first();
    log_session session({log.address(), "table", 10s});
    BOOST_REQUIRE(session.load({}, 10s).ok());
    log.set_faults({outage_kind::refuse, 0ms, 0, 0});
    std::ostringstream out;
    std::ostringstream err;
    ctl_context context = context_for(out, err, 0.3);
    const auto base = session.replica().current();
    const table wanted = base->with_changes(std::vector{set_service("limits", 5)}, 0);
    publish_table(context, session, base, wanted, {}, "kept.csv");
    BOOST_TEST(context.status == 4);
    BOOST_TEST(err.str().find("may take effect") != std::string::npos);
    BOOST_TEST(err.str().find("teaselpitchctl table history --edit ") != std::string::npos);
    BOOST_TEST(err.str().find("the edit stays in kept.csv") != std::string::npos);
    log.set_faults({});
    BOOST_TEST(table_command({"history", "--edit", "0123"}).status == 1);
}

// Guards against an outage that is reported as anything but a failure without effect.
BOOST_FIXTURE_TEST_CASE(an_outage_before_reading_changes_nothing, fixture) {
    publish_first();
    log.set_faults({outage_kind::refuse, 0ms, 0, 0});
    const auto file = folder.write("next.csv", text_of(1, {set_service("limits", 5)}));
    const ctl_result result = table_command({"publish", file, "--log-timeout", "0.2"});
    BOOST_TEST(result.status == 1);
    BOOST_TEST(result.says("nothing was published, the edit stays in " + file));
}

// Guards against an edit that is lost because it is invalid, and against one that is published.
BOOST_FIXTURE_TEST_CASE(an_invalid_edit_stays_in_its_file, fixture) {
    publish_first();
    std::string text = text_of(1, {set_service("limits")});
    text.replace(text.find(",60,"), 4, ",160,");
    const auto file = folder.write("bad.csv", text);
    const ctl_result result = table_command({"publish", file});
    BOOST_TEST(result.status == 2);
    BOOST_TEST(result.says(file + ": line 4: service row \"limits/*\": column floor: \"160\" is not"));
    BOOST_TEST(result.says("the edit stays in " + file));
    BOOST_TEST(read_text(file) == text);
    BOOST_TEST(table_command({"edit", file}).status == 2);
    BOOST_TEST(read_text(file) == text);
    BOOST_TEST(log.end_offset() == 1);
    const auto issues = boost::json::parse(table_command({"validate", file, "--output", "json"}).out);
    BOOST_TEST(issues.at("issues").at(0).at("column").as_string() == "floor");
}

// Guards against a revert that goes back in versions or leaves rows behind.
BOOST_FIXTURE_TEST_CASE(a_revert_is_a_new_version, fixture) {
    publish_first();
    BOOST_TEST(table_command({"set", "account", "acme", "*", "requests_per_s=5"}).status == 0);
    BOOST_TEST(table_command({"set", "service", "limits", "*", "floor=10"}).status == 0);
    BOOST_TEST(table_command({"diff", "--from", "1"}).says("changed service limits/* floor=60->10"));
    BOOST_TEST(table_command({"revert", "1"}).says("accepted version 4"));
    BOOST_TEST(table_command({"show"}).out == text_of(4, {set_service("limits")}));
    BOOST_TEST(table_command({"revert", "1"}).says("no changes to version 4"));
    const ctl_result history = table_command({"history", "--limit", "2"});
    BOOST_TEST(history.says("comment \"revert to version 1\""));
    BOOST_TEST(!history.says("author ana"));
}

// Guards against a truncated log whose table is taken for empty.
BOOST_AUTO_TEST_CASE(a_truncated_log_without_snapshot_is_an_error) {
    log_server_fixture log({1, 0s});
    BOOST_TEST(run_table(log.address(), {"set", "service", "a", "*", "weight=1"}).status == 0);
    BOOST_TEST(run_table(log.address(), {"set", "service", "b", "*", "weight=1"}).status == 0);
    // The second edit pushed the first one out.
    const ctl_result result = run_table(log.address(), {"show"});
    BOOST_TEST(result.status == 1);
    BOOST_TEST(result.says("the log is truncated"));
    BOOST_TEST(run_table(log.address(), {"set", "service", "c", "*", "weight=1"}).status == 1);
    BOOST_TEST(log.end_offset() == 2);
}

struct usage_case {
    std::vector<std::string> arguments;
    int status;
};

std::ostream& operator<<(std::ostream& out, const usage_case& value) {
    for (const std::string& argument : value.arguments) {
        out << argument << ' ';
    }
    return out;
}

const std::vector<usage_case> usages{
    {{"--help"}, 0},
    {{"--version"}, 0},
    {{}, 2},
    {{"table"}, 2},
    {{"table", "show"}, 2},
    {{"--log", "localhost:80", "table", "show"}, 2},
    {{"table", "show", "--output", "xml"}, 2},
    {{"table", "get", "rows", "x"}, 2},
    {{"table", "publish", "/no/such/file"}, 2},
    {{"table", "set", "service", "a", "*", "--log", "127.0.0.1:1"}, 2},
};

// Guards against wrong arguments that look like a failure of the fleet.
BOOST_DATA_TEST_CASE(usage_errors_have_their_own_status, data::make(usages), sample) {
    const ctl_result result = run(sample.arguments);
    BOOST_TEST(result.status == sample.status);
    BOOST_TEST((sample.status == 0 ? result.err : result.out) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
