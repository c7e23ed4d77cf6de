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
#include "main/ctl/publish_table.h"
#include "servers/table/table_csv.h"
#include "tests/drivers/log/log_server_fixture.h"
#include "tests/main/ctl/ctl_test_support.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using namespace table_tests;
using outage_kind = standin_log_faults::outage_kind;

BOOST_AUTO_TEST_SUITE(table_commands)

std::string csv_of(std::uint64_t version, const std::vector<row_change>& rows) {
    return write_table_csv(table().with_changes(rows, version));
}

struct fixture {
    log_server_fixture log;
    temporary_directory folder;

    ctl_result table_command(std::vector<std::string> arguments) {
        return run_table(log.address(), std::move(arguments));
    }

    // Publishes version 1: one row for the service "limits" with a floor of 60.
    void publish_initial_table() {
        const auto file = folder.write("first.csv", csv_of(0, {set_service("limits")}));
        BOOST_REQUIRE(table_command({"publish", file, "--author", "ana"}).status == 0);
    }
};

// Guards against a published table that differs when it is read back as text or JSON.
BOOST_FIXTURE_TEST_CASE(published_table_is_read_back, fixture) {
    publish_initial_table();
    BOOST_TEST(table_command({"show"}).out == csv_of(1, {set_service("limits")}));
    const auto shown = boost::json::parse(table_command({"show", "--output", "json"}).out);
    BOOST_TEST(shown.at("version").to_number<int>() == 1);
    BOOST_TEST(shown.at("service").at(0).at("floor").to_number<int>() == 60);
    BOOST_TEST(table_command({"get", "service", "limits"}).output_contains("floor=60"));
    BOOST_TEST(table_command({"get", "service", "limits", "seq-bne"}).status == 1);
    BOOST_TEST(table_command({"show", "--at", "7"}).status == 1);
}

// Guards against accepting two concurrent edits on the same base, and against a conflict report without the
// changes of the accepted edit.
BOOST_FIXTURE_TEST_CASE(only_one_concurrent_edit_is_accepted, fixture) {
    publish_initial_table();
    const auto file = [this](const std::string& name, std::uint32_t weight) {
        return folder.write(name, csv_of(1, {set_service("limits", weight)}));
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
    BOOST_TEST(results[loser].output_contains("stale_base"));
    BOOST_TEST(results[loser].output_contains("by " + files[1 - loser]));
    const std::string line = loser == 0 ? "weight  100   10     20" : "weight  100   20     10";
    BOOST_TEST(results[loser].output_contains("service limits/*  " + line));
    BOOST_TEST(results[loser].output_contains("the edit stays in " + files[loser]));
    BOOST_TEST(
        table_command({"get", "service", "limits"}).output_contains(loser == 0 ? "weight=20" : "weight=10"));
}

// Guards against an edit that is reported as failed or applied twice when the append acknowledgement is lost.
BOOST_FIXTURE_TEST_CASE(lost_acknowledgement_does_not_duplicate_edit, fixture) {
    publish_initial_table();
    log.set_faults({outage_kind::none, 0ms, 1, 0});
    const ctl_result result =
        table_command({"set", "service", "limits", "*", "floor=70", "--output", "json"});
    BOOST_TEST(result.status == 0);
    BOOST_TEST(boost::json::parse(result.out).at("version").to_number<int>() == 2);
    BOOST_TEST(log.end_offset() == 2);
}

ctl_context make_context(std::ostream& out, std::ostream& err, double timeout_s) {
    ctl_context context{out, err};
    context.log_timeout_s = timeout_s;
    return context;
}

// Guards against a definite verdict when the log becomes unreachable while the edit is being published.
BOOST_FIXTURE_TEST_CASE(outage_during_publish_is_in_doubt, fixture) {
    publish_initial_table();
    log_session session({log.address(), "table", 10s});
    BOOST_REQUIRE(session.load({}, 10s).ok());
    log.set_faults({outage_kind::refuse, 0ms, 0, 0});
    std::ostringstream out;
    std::ostringstream err;
    ctl_context context = make_context(out, err, 0.3);
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

// Guards against a log outage before the first read that is not reported as a failure without effect.
BOOST_FIXTURE_TEST_CASE(outage_before_read_publishes_nothing, fixture) {
    publish_initial_table();
    log.set_faults({outage_kind::refuse, 0ms, 0, 0});
    const auto file = folder.write("next.csv", csv_of(1, {set_service("limits", 5)}));
    const ctl_result result = table_command({"publish", file, "--log-timeout", "0.2"});
    BOOST_TEST(result.status == 1);
    BOOST_TEST(result.output_contains("nothing was published, the edit stays in " + file));
}

// Guards against an invalid edit that is published or whose file is overwritten.
BOOST_FIXTURE_TEST_CASE(invalid_edit_is_not_published, fixture) {
    publish_initial_table();
    std::string text = csv_of(1, {set_service("limits")});
    text.replace(text.find(",60,"), 4, ",160,");
    const auto file = folder.write("bad.csv", text);
    const ctl_result result = table_command({"publish", file});
    BOOST_TEST(result.status == 2);
    BOOST_TEST(
        result.output_contains(file + ": line 4: service row \"limits/*\": column floor: \"160\" is not"));
    BOOST_TEST(result.output_contains("the edit stays in " + file));
    BOOST_TEST(read_file_text(file) == text);
    BOOST_TEST(table_command({"edit", file}).status == 2);
    BOOST_TEST(read_file_text(file) == text);
    BOOST_TEST(log.end_offset() == 1);
    const auto issues = boost::json::parse(table_command({"validate", file, "--output", "json"}).out);
    BOOST_TEST(issues.at("issues").at(0).at("column").as_string() == "floor");
}

// Guards against a revert that lowers the version number or keeps rows added since.
BOOST_FIXTURE_TEST_CASE(revert_publishes_new_version, fixture) {
    publish_initial_table();
    BOOST_TEST(table_command({"set", "account", "acme", "*", "requests_per_s=5"}).status == 0);
    BOOST_TEST(table_command({"set", "service", "limits", "*", "floor=10"}).status == 0);
    BOOST_TEST(
        table_command({"diff", "--from", "1"}).output_contains("changed service limits/* floor=60->10"));
    BOOST_TEST(table_command({"revert", "1"}).output_contains("accepted version 4"));
    BOOST_TEST(table_command({"show"}).out == csv_of(4, {set_service("limits")}));
    BOOST_TEST(table_command({"revert", "1"}).output_contains("no changes to version 4"));
    const ctl_result history = table_command({"history", "--limit", "2"});
    BOOST_TEST(history.output_contains("comment \"revert to version 1\""));
    BOOST_TEST(!history.output_contains("author ana"));
}

// Guards against treating the table of a truncated log without a snapshot as empty.
BOOST_AUTO_TEST_CASE(truncated_log_without_snapshot_is_an_error) {
    log_server_fixture log({1, 0s});
    BOOST_TEST(run_table(log.address(), {"set", "service", "a", "*", "weight=1"}).status == 0);
    BOOST_TEST(run_table(log.address(), {"set", "service", "b", "*", "weight=1"}).status == 0);
    // The log retains one record, so the second edit evicted the first.
    const ctl_result result = run_table(log.address(), {"show"});
    BOOST_TEST(result.status == 1);
    BOOST_TEST(result.output_contains("the log is truncated"));
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

// Guards against invalid arguments that exit with the status of a fleet failure.
BOOST_DATA_TEST_CASE(usage_errors_exit_with_usage_status, data::make(usages), sample) {
    const ctl_result result = run(sample.arguments);
    BOOST_TEST(result.status == sample.status);
    BOOST_TEST((sample.status == 0 ? result.err : result.out) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
