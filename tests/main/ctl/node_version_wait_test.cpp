#include "main/ctl/node_version_wait.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <sstream>
#include <string>
#include <thread>

#include "main/ctl/node_versions.h"

namespace teaselpitch {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(node_version_wait)

std::string member(const std::string& name, const std::string& state, int version) {
    return R"({"name":")" + name + R"(","zone":"z","state":")" + state + R"(","table_version":)" +
           std::to_string(version) + "}";
}

std::string status(int version, const std::string& members) {
    return R"({"node":"n1","zone":"z","table_version":)" + std::to_string(version) + R"(,"members":[)" +
           members + "]}";
}

// HTTP server that sends the same response body to every request until it is destroyed.
class fake_node {
public:
    explicit fake_node(std::string body) : body_(std::move(body)), thread_([this] { serve(); }) {}
    ~fake_node() {
        stopping_ = true;
        boost::asio::ip::tcp::socket last(context_);
        last.connect(acceptor_.local_endpoint());
        thread_.join();
    }
    fake_node(const fake_node&) = delete;
    fake_node& operator=(const fake_node&) = delete;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void serve() {
        namespace http = boost::beast::http;
        while (!stopping_) {
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            if (stopping_) {
                return;
            }
            boost::beast::flat_buffer buffer;
            boost::beast::error_code error;
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (!error) {
                http::response<http::string_body> answer{http::status::ok, 11};
                answer.body() = body_;
                answer.prepare_payload();
                http::write(socket, answer, error);
            }
        }
    }

    std::string body_;
    std::atomic<bool> stopping_ = false;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    std::thread thread_;
};

struct wait_result {
    int status = 0;
    std::string err;
};

wait_result wait_for(const std::vector<std::string>& nodes, std::uint64_t version) {
    std::ostringstream out;
    std::ostringstream err;
    ctl_context context{out, err};
    context.nodes = nodes;
    const int status = wait_for_version(context, version, 50ms);
    return {status, err.str()};
}

// Guards against a wait that ends while a live node still has an older version, or that waits for a dead
// node.
BOOST_AUTO_TEST_CASE(wait_requires_version_on_every_live_node) {
    const fake_node node(status(5, member("n2", "alive", 5) + "," + member("n3", "dead", 2)));
    const wait_result result = wait_for({node.address()}, 5);
    BOOST_TEST(result.status == 0);
    BOOST_TEST(result.err.find("2 of 2 live nodes at version 5") != std::string::npos);
}

// Guards against a timeout report without the names of lagging and unreachable nodes.
BOOST_AUTO_TEST_CASE(lagging_nodes_are_reported) {
    const fake_node node(status(5, member("n2", "suspect", 4) + "," + member("n3", "alive", 5)));
    const wait_result result = wait_for({node.address(), "nowhere:1"}, 5);
    BOOST_TEST(result.status == 5);
    BOOST_TEST(result.err.find("2 of 3 live nodes at version 5") != std::string::npos);
    BOOST_TEST(result.err.find("missing: n2 zone z at version 4") != std::string::npos);
    BOOST_TEST(result.err.find("unreachable: nowhere:1") != std::string::npos);
}

// Guards against reporting success when no node could be reached.
BOOST_AUTO_TEST_CASE(unreachable_nodes_fail_wait) {
    BOOST_TEST(wait_for({"nowhere:1"}, 0).status == 5);
}

// Guards against a merge of status reports that drops a live node or lowers a reported version.
BOOST_AUTO_TEST_CASE(status_reports_are_merged) {
    node_versions versions;
    BOOST_TEST(
        versions.merge_status(status(5, member("n2", "dead", 4) + "," + member("n3", "alive", 5))).ok());
    BOOST_TEST(versions.merge_status(status(4, member("n2", "alive", 3))).ok());
    BOOST_TEST(versions.live_count() == 3);
    BOOST_TEST(versions.all().at("n1").version == 5U);
    BOOST_TEST(versions.nodes_below_version(5) == std::vector<std::string>{"n2"},
               boost::test_tools::per_element());
    versions.reset_liveness();
    BOOST_TEST(versions.live_count() == 0);
    BOOST_TEST(versions.all().at("n2").version == 4U);
    for (const char* text : {"", "[]", "{}", R"({"node":7})"}) {
        BOOST_TEST(!versions.merge_status(text).ok(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
