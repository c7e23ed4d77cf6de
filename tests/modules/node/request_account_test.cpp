#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "core/event_log.h"
#include "drivers/http/error_reply.h"
#include "drivers/http/target_request.h"
#include "drivers/peer/head_codec.h"
#include "modules/node/request_router.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t route_rank = 5;
const std::string key_of_pulo = "nr26tta828m82thhkmgj";
const std::string second_key_of_pulo = "qnirth5mgjy5rcpihhac";

http_dialect make_dialect() {
    http_dialect dialect;
    dialect.account_key_field = "Caller-Key";
    dialect.account_field = "Caller-Name";
    return dialect;
}

row_change make_route(std::string prefix, route_access access) {
    route_row row;
    row.path_prefix = std::move(prefix);
    row.service = "contratos";
    row.priority = route_rank;
    row.access = access;
    return {std::move(row), false};
}

std::vector<row_change> usual_routes() {
    return {{service_row{.service = "contratos"}, false},
            make_route("/private/", route_access::accounts),
            make_route("/public/", route_access::everyone)};
}

std::vector<client_account> usual_accounts() {
    return {{.name = "pulo780", .keys = {key_of_pulo, second_key_of_pulo}, .rank = 1},
            {.name = "urgent", .keys = {"k-urgent"}, .rank = 0},
            {.name = "plain", .keys = {"k-plain"}}};
}

/// A node whose configuration the test sets.
struct router_fixture {
    explicit router_fixture(node_settings settings_in = {}) : settings(std::move(settings_in)) {}

    manual_time_source clock;
    node_settings settings;
    http_dialect dialect = make_dialect();
    node_context context{settings, dialect, clock, {"n1", 1}, [](const std::function<void()>&) {}};
    request_router router{context};

    void set_configuration(const std::vector<row_change>& rows, std::vector<client_account> accounts) {
        context.routing.update(std::make_shared<const routing_table>(
            std::make_shared<const table>(table().with_changes(rows, 1)), "z",
            account_directory::make(std::move(accounts)).value()));
    }
};

request_head make_request(std::string path, const std::string& key) {
    request_head head;
    head.method = "GET";
    head.path = std::move(path);
    head.host = "maker.example";
    head.headers = {{"Host", "maker.example"}, {"Accept", "*/*"}, {"Caller-Name", "forged"}};
    if (!key.empty()) {
        head.headers.push_back({"caller-key", key});
    }
    return head;
}

struct key_case {
    std::string name;
    std::string path;
    std::string key;
    error_kind error;
    std::string account;
    std::uint32_t rank;
};

std::ostream& operator<<(std::ostream& out, const key_case& value) {
    return out << value.name;
}

const std::vector<key_case> key_cases{
    {"known key", "/private/a", key_of_pulo, error_kind::none, "pulo780", 1},
    {"second key", "/private/a", second_key_of_pulo, error_kind::none, "pulo780", 1},
    {"rank 0 of the account", "/private/a", "k-urgent", error_kind::none, "urgent", 0},
    {"account without a rank", "/private/a", "k-plain", error_kind::none, "plain", route_rank},
    {"no key", "/private/a", "", error_kind::unauthenticated, "", route_rank},
    {"unknown key", "/private/a", "k-nobody", error_kind::unauthenticated, "", route_rank},
    {"public route without a key", "/public/a", "", error_kind::none, "", route_rank},
    {"public route with an unknown key", "/public/a", "k-nobody", error_kind::none, "", route_rank},
    {"public route with a known key", "/public/a", key_of_pulo, error_kind::none, "pulo780", 1},
};

struct change_case {
    std::string name;
    std::vector<row_change> rows;
    std::vector<client_account> accounts;
    std::string path;
    std::string key;
    error_kind error;
    std::string account;
};

std::ostream& operator<<(std::ostream& out, const change_case& value) {
    return out << value.name;
}

std::vector<client_account> only_second_key() {
    return {{.name = "pulo780", .keys = {second_key_of_pulo}}};
}

const std::vector<change_case> change_cases{
    {"the key is removed", usual_routes(), only_second_key(), "/private/a", key_of_pulo,
     error_kind::unauthenticated, ""},
    {"another key of the account is removed", usual_routes(), only_second_key(), "/private/a",
     second_key_of_pulo, error_kind::none, "pulo780"},
    {"the key moves to another account",
     usual_routes(),
     {{.name = "heir", .keys = {key_of_pulo}}},
     "/private/a",
     key_of_pulo,
     error_kind::none,
     "heir"},
    {"the route is not public any more",
     {{service_row{.service = "contratos"}, false}, make_route("/public/", route_access::accounts)},
     usual_accounts(),
     "/public/a",
     "",
     error_kind::unauthenticated,
     ""},
    {"the route becomes public",
     {{service_row{.service = "contratos"}, false}, make_route("/private/", route_access::everyone)},
     only_second_key(),
     "/private/a",
     key_of_pulo,
     error_kind::none,
     ""},
    {"route and key are removed",
     {},
     only_second_key(),
     "/private/a",
     key_of_pulo,
     error_kind::unauthenticated,
     ""},
    {"the public route is removed", {}, only_second_key(), "/public/a", "", error_kind::none, ""},
};

/// Returns what the end of an exchange adds to the log.
std::string log_lines_of(request_router& router, const ingress_report& report) {
    std::FILE* const file = std::tmpfile();
    {
        const background_event_writer writer(file);
        router.exchange_ended(report);
    }
    std::string text(static_cast<std::size_t>(std::ftell(file)), '\0');
    std::rewind(file);
    text.resize(std::fread(text.data(), 1, text.size(), file));
    std::fclose(file);
    return text;
}

/// A key of an account and an unknown one that is a part of it.
const std::vector<std::string> presented_keys{key_of_pulo, key_of_pulo.substr(0, 19)};

bool contains(std::string_view text, std::string_view part) {
    return text.find(part) != std::string_view::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_accounts)

// Guards against a request without a valid key that passes, against a public route that asks for a key, and
// against the rank of the route in place of that of the account.
BOOST_DATA_TEST_CASE(keys_decide_account_and_rank, boost::unit_test::data::make(key_cases), row) {
    router_fixture node;
    node.set_configuration(usual_routes(), usual_accounts());
    const request_head received = make_request(row.path, row.key);
    request_head head = received;
    const auto route = node.router.find_route(head);
    BOOST_REQUIRE(route.has_value());
    head.rank = route->rank;
    const refusal refused = node.router.check_account(received, *route, head);
    BOOST_TEST(get_error_answer(refused.error).name == get_error_answer(row.error).name);
    BOOST_TEST(head.account == row.account);
    BOOST_TEST(head.rank == row.rank);
    BOOST_TEST(find_header(head.headers, "Caller-Name").value_or("") == row.account);
    BOOST_TEST(!find_header(head.headers, "Caller-Key").has_value());
}

// Guards against fields that are removed or a key that is required when the configuration has no accounts.
BOOST_AUTO_TEST_CASE(without_accounts_nothing_changes) {
    router_fixture node;
    node.set_configuration(usual_routes(), {});
    request_head received = make_request("/private/a", key_of_pulo);
    received.account = "own-interface";
    request_head head = received;
    const auto route = node.router.find_route(head);
    BOOST_REQUIRE(route.has_value());
    head.rank = route->rank;
    BOOST_TEST((node.router.check_account(received, *route, head).error == error_kind::none));
    BOOST_TEST(head.account == "own-interface");
    BOOST_TEST(head.rank == route_rank);
    BOOST_TEST(find_header(head.headers, "Caller-Name").value_or("") == "forged");
    BOOST_TEST(find_header(head.headers, "Caller-Key").value_or("") == key_of_pulo);
}

// Guards against a waiting request that is decided by the configuration at its arrival instead of the one in
// force.
BOOST_DATA_TEST_CASE(waiting_requests_follow_the_configuration_in_force,
                     boost::unit_test::data::make(change_cases), row) {
    router_fixture node;
    node.set_configuration(usual_routes(), usual_accounts());
    const request_head received = make_request(row.path, row.key);
    request_head head = received;
    const auto route = node.router.find_route(head);
    BOOST_REQUIRE(route.has_value());
    BOOST_REQUIRE((node.router.check_account(received, *route, head).error == error_kind::none));
    node.set_configuration(row.rows, row.accounts);
    const refusal refused = node.router.check_account(received, *route, head);
    BOOST_TEST(get_error_answer(refused.error).name == get_error_answer(row.error).name);
    BOOST_TEST(head.account == row.account);
}

// Guards against a key in what leaves the ingress: requests for targets and other nodes, the fingerprint,
// logs, decision records, metrics and error answers.
BOOST_DATA_TEST_CASE(the_key_stays_in_the_ingress, boost::unit_test::data::make(presented_keys), key) {
    router_fixture node;
    node.set_configuration(usual_routes(), usual_accounts());
    const request_head received = make_request("/private/a", key);
    request_head head = received;
    head.request_id = "r-1";
    const auto route = node.router.find_route(head);
    BOOST_REQUIRE(route.has_value());
    head.service = route->service;
    const refusal refused = node.router.check_account(received, *route, head);
    exchange_result result;
    if (refused.error != error_kind::none) {
        result = failed_exchange(refused.error, refused.detail);
    }
    head.fingerprint = request_fingerprint(head, {});
    const std::string log = log_lines_of(node.router, {head, result, 500, {}, 1ms});
    BOOST_TEST(contains(log, "request_id=r-1"));
    BOOST_TEST(!contains(log, key));
    for (const decision_record& record : node.context.decisions.find(decision_subject::request, "r-1", 10)) {
        std::string text = record.decision + record.rule;
        for (const decision_evidence& evidence : record.evidence) {
            text += evidence.name + evidence.value;
        }
        BOOST_TEST(!contains(text, key));
    }
    BOOST_TEST(!contains(node.context.metrics.serialize(), key));
    BOOST_TEST(
        !contains(format_error_reply(failed_exchange(error_kind::unauthenticated, refused.detail), {}), key));
    BOOST_TEST(!contains(format_target_request(head, {"127.0.0.1", 1}, 1s, node.dialect), key));
    const auto at_peer = decode_request(encode_request(head, node.clock.now()), node.clock.now());
    BOOST_REQUIRE(at_peer.ok());
    BOOST_TEST(!contains(format_target_request(*at_peer, {"127.0.0.1", 1}, 1s, node.dialect), key));
    BOOST_TEST(at_peer->account == head.account);
    request_head other_key = head;
    (void)node.router.check_account(make_request("/private/a", second_key_of_pulo), *route, other_key);
    other_key.account = head.account;
    BOOST_TEST(request_fingerprint(other_key, {}) == head.fingerprint);
}

struct isolated_case {
    std::string name;
    bool fail_closed;
    std::string path;
    std::string key;
    error_kind error;
    std::string account;
};

std::ostream& operator<<(std::ostream& out, const isolated_case& value) {
    return out << value.name;
}

const std::vector<isolated_case> isolated_cases{
    {"open node, known key", false, "/private/a", key_of_pulo, error_kind::none, "pulo780"},
    {"closed node, known key", true, "/private/a", key_of_pulo, error_kind::log_unavailable, ""},
    {"closed node, unknown key", true, "/private/a", "k-nobody", error_kind::log_unavailable, ""},
    {"closed node, no key", true, "/private/a", "", error_kind::unauthenticated, ""},
    {"closed node, public route", true, "/public/a", key_of_pulo, error_kind::none, ""},
};

// Guards against a node without contact that accepts keys where the deployment forbids it, or that refuses
// them elsewhere.
BOOST_DATA_TEST_CASE(nodes_without_contact, boost::unit_test::data::make(isolated_cases), row) {
    node_settings settings;
    settings.accounts_fail_closed = row.fail_closed;
    settings.accounts_revoke_after = 5s;
    router_fixture node(settings);
    node.set_configuration(usual_routes(), usual_accounts());
    node.clock.advance(5s);
    const request_head received = make_request(row.path, row.key);
    request_head head = received;
    const auto route = node.router.find_route(head);
    BOOST_REQUIRE(route.has_value());
    const refusal refused = node.router.check_account(received, *route, head);
    BOOST_TEST(get_error_answer(refused.error).name == get_error_answer(row.error).name);
    BOOST_TEST(get_error_answer(refused.error).http_status ==
               (row.error == error_kind::log_unavailable ? 503U : get_error_answer(row.error).http_status));
    BOOST_TEST(head.account == row.account);
    node.context.account_keys.on_contact();
    head = received;
    const bool has_known_key = row.key == key_of_pulo;
    BOOST_TEST((node.router.check_account(received, *route, head).error == error_kind::none) ==
               has_known_key);
}

// Guards against refusals that operators do not see.
BOOST_AUTO_TEST_CASE(refusals_are_counted_by_reason) {
    router_fixture node;
    node.set_configuration(usual_routes(), usual_accounts());
    for (const std::string& key : {std::string(), std::string("k-nobody"), std::string("k-plain")}) {
        const request_head received = make_request("/private/a", key);
        request_head head = received;
        (void)node.router.check_account(received, *node.router.find_route(head), head);
    }
    const std::string metrics = node.context.metrics.serialize();
    BOOST_TEST(contains(metrics, "teaselpitch_unauthenticated_requests_total{reason=\"missing\"} 1"));
    BOOST_TEST(contains(metrics, "teaselpitch_unauthenticated_requests_total{reason=\"unknown\"} 1"));
    BOOST_TEST(!contains(metrics, "reason=\"known\""));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
