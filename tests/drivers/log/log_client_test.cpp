#include "drivers/log/log_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "drivers/log/log_http_client.h"
#include "tests/drivers/log/log_server_fixture.h"

namespace teaselpitch {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using outage_kind = standin_log_faults::outage_kind;

BOOST_AUTO_TEST_SUITE(log_client_calls)

// Long enough for a busy machine. Only the cases in which no answer arrives wait for the shorter timeout.
constexpr std::chrono::milliseconds long_timeout = 10s;
constexpr std::chrono::milliseconds short_timeout = 1s;

log_client make_client(const log_server_fixture& log, std::chrono::milliseconds timeout = long_timeout) {
    return log_client({log.address(), "table", timeout});
}

log_http::response send_request(const log_server_fixture& log, std::string method, std::string path,
                                std::string body = "") {
    log_http::request request;
    request.method = std::move(method);
    request.target = std::move(path);
    request.body = std::move(body);
    return run_until_complete(log_http::send_request(log.address(), std::move(request), long_timeout));
}

// Guards against modified record bytes, and against a batch with wrong first and end offsets of the log.
BOOST_AUTO_TEST_CASE(records_are_read_with_their_offsets) {
    log_server_fixture log({2, 0s});
    log_client client = make_client(log);
    const std::string bytes("a\0\r\n\xff", 5);
    for (std::uint64_t offset = 0; offset < 3; ++offset) {
        const append_outcome outcome = run_until_complete(client.append(offset == 2 ? bytes : "other"));
        BOOST_TEST((outcome.state == append_state::stored));
        BOOST_TEST(outcome.offset == offset);
    }
    const auto batch = run_until_complete(client.read(0, 10, 0ms));
    BOOST_REQUIRE(batch.ok());
    BOOST_TEST(batch->first_offset() == 1);
    BOOST_TEST(batch->end_offset() == 3);
    BOOST_REQUIRE(batch->records_size() == 2);
    BOOST_TEST(batch->records(1).offset() == 2);
    BOOST_TEST((batch->records(1).payload() == bytes));
    BOOST_TEST(run_until_complete(client.read(1, 1, 0ms))->records_size() == 1);
}

struct append_case {
    std::string name;
    standin_log_faults faults;
    std::chrono::milliseconds timeout;
    append_state state;
    std::uint64_t stored;  // Number of records in the log afterwards.
};

std::ostream& operator<<(std::ostream& out, const append_case& value) {
    return out << value.name;
}

const std::vector<append_case> append_cases{
    {"no fault", {}, long_timeout, append_state::stored, 1},
    {"lost acknowledgement", {outage_kind::none, 0ms, 1, 0}, long_timeout, append_state::unknown, 1},
    {"late acknowledgement", {outage_kind::none, 1h, 0, 0}, short_timeout, append_state::unknown, 1},
    {"closed connection", {outage_kind::refuse, 0ms, 0, 0}, long_timeout, append_state::unknown, 0},
    {"no answer", {outage_kind::hang, 0ms, 0, 0}, short_timeout, append_state::unknown, 0},
};

// Guards against an append that is reported as refused although it may be stored, or as stored without proof.
BOOST_DATA_TEST_CASE(append_reports_its_outcome, data::make(append_cases), sample) {
    log_server_fixture log;
    log.set_faults(sample.faults);
    log_client client = make_client(log, sample.timeout);
    const append_outcome outcome = run_until_complete(client.append("record"));
    BOOST_TEST((outcome.state == sample.state));
    BOOST_TEST(outcome.detail.empty() == (sample.state == append_state::stored));
    BOOST_TEST(log.end_offset() == sample.stored);
}

// Guards against an append that is reported as unknown although it was certainly not stored.
BOOST_AUTO_TEST_CASE(unstored_appends_are_reported_as_refused) {
    log_server_fixture log;
    log.set_faults({outage_kind::none, 0ms, 0, 1});
    log_client client = make_client(log);
    run_until_complete(client.append("first"));
    BOOST_TEST((run_until_complete(client.append("second")).state == append_state::refused));
    BOOST_TEST(log.end_offset() == 1);
    // A bound port without a listener refuses connections.
    boost::asio::io_context context;
    const boost::asio::ip::tcp::socket bound(
        context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    log_client unreachable_client({{"127.0.0.1", bound.local_endpoint().port()}, "table", long_timeout});
    BOOST_TEST((run_until_complete(unreachable_client.append("record")).state == append_state::refused));
    BOOST_TEST(!run_until_complete(unreachable_client.read(0, 1, 0ms)).ok());
}

// Guards against faults that cannot be changed at run time, and against misspelled names that are ignored.
BOOST_AUTO_TEST_CASE(faults_are_set_over_http) {
    log_server_fixture log;
    const auto post = [&log](const std::string& body) { return send_request(log, "POST", "/_faults", body); };
    BOOST_TEST(post(R"({"outage":"hang","latency_ms":5,"lose_ack_next":2,"append_rate_limit":3})").status ==
               200U);
    BOOST_TEST(post(R"({"outage":"none"})").body ==
               R"({"outage":"none","latency_ms":5,"lose_ack_next":2,"append_rate_limit":3})");
    BOOST_TEST(post(R"({"outrage":"none"})").status == 400U);
    BOOST_TEST(post(R"({"outage":"some"})").status == 400U);
    BOOST_TEST(post("[]").status == 400U);
    const auto status = send_request(log, "GET", "/_status");
    BOOST_TEST(status.body.find(R"("lose_ack_next":2)") != std::string::npos);
}

const std::vector<std::tuple<std::string, bool>> endpoint_cases{
    {"127.0.0.1:80", true}, {"[::1]:80", true},     {"localhost:80", false},    {"127.0.0.1", false},
    {"127.0.0.1:", false},  {"127.0.0.1:x", false}, {"127.0.0.1:65536", false}, {":80", false},
};

// Guards against a host name or an invalid port that is accepted and fails only later.
BOOST_DATA_TEST_CASE(endpoints_require_numeric_address_and_port, data::make(endpoint_cases), text, valid) {
    BOOST_TEST(parse_endpoint(text).ok() == valid);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
