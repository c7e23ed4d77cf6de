#include "modules/node/quota_service.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <ostream>

#include "servers/admission/share_allocator.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr account_quota quota{10, 10};

/// A service on node n1 whose messages to n2 are recorded. The control thread runs when the test says so.
struct service_fixture {
    manual_time_source clock;
    node_metrics metrics;
    std::vector<std::function<void()>> posted;
    std::deque<outgoing_quota_request> sent;
    quota_service service{clock,
                          {"n1", 1},
                          metrics,
                          {.quota_of = [](std::string_view) { return quota; },
                           .version = [] { return std::uint64_t{3}; },
                           .post_to_control_thread =
                               [this](std::function<void()> work) { posted.push_back(std::move(work)); }}};
    std::string account;
    std::vector<error_kind> results;
    std::size_t cancelled = 0;
    boost::asio::io_context shard;  ///< Destroyed first, as its coroutines use the service.

    explicit service_fixture(const std::string& home) {
        service.set_sender([this](outgoing_quota_request message) { sent.push_back(std::move(message)); });
        service.on_members({{"n1", "n2"}, 2, 2});
        clock.advance(1min);
        const std::vector<std::string> nodes{"n1", "n2"};
        for (int i = 0; account.empty(); ++i) {
            const std::string name = "account-" + std::to_string(i);
            account = select_home_node({name, "quota"}, nodes) == home ? name : "";
        }
    }

    void start(boost::asio::cancellation_signal* cancel = nullptr, std::chrono::milliseconds timeout = 10s) {
        const auto ended = [this](std::exception_ptr failure, quota_admission admission) {
            failure ? (void)++cancelled : results.push_back(admission.refused.error);
        };
        auto task = service.admit(account, quota, clock.now() + timeout);
        if (cancel != nullptr) {
            boost::asio::co_spawn(shard, std::move(task),
                                  boost::asio::bind_cancellation_slot(cancel->slot(), ended));
        } else {
            boost::asio::co_spawn(shard, std::move(task), ended);
        }
        poll();
    }

    void poll() {
        shard.restart();
        shard.poll();
    }

    void run_control_thread() {
        for (const auto& work : std::exchange(posted, {})) {
            work();
        }
        poll();
    }

    void answer(std::optional<std::uint32_t> granted, std::uint64_t retry_after_ms) {
        const outgoing_quota_request request = sent.front();
        sent.pop_front();
        wire::QuotaGrant grant;
        grant.set_granted(granted.value_or(0));
        grant.set_retry_after_ms(retry_after_ms);
        service.on_answer(request, granted ? std::optional(grant) : std::nullopt);
        poll();
    }
};

struct answer_case {
    std::string name;
    std::optional<std::uint32_t> granted;
    std::uint64_t retry_after_ms;
    std::vector<error_kind> expected;  ///< Results of three requests that wait together.
};

std::ostream& operator<<(std::ostream& out, const answer_case& value) {
    return out << value.name;
}

const std::vector<answer_case> answer_cases{
    {"all granted", 3, 0, {error_kind::none, error_kind::none, error_kind::none}},
    {"some granted", 1, 80, {error_kind::none, error_kind::account_limited, error_kind::account_limited}},
    {"not the home", 0, 0, std::vector<error_kind>(3, error_kind::quota_unavailable)},
    {"no answer", std::nullopt, 0, std::vector<error_kind>(3, error_kind::quota_unavailable)},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(quota_service_admission)

// Guards against one call for each waiting request, and against requests that keep waiting or get a wrong
// result.
BOOST_DATA_TEST_CASE(waiting_requests_share_one_call, boost::unit_test::data::make(answer_cases), row) {
    service_fixture node("n2");
    for (int i = 0; i < 3; ++i) {
        node.start();
    }
    node.run_control_thread();
    BOOST_REQUIRE_EQUAL(node.sent.size(), 1U);
    BOOST_TEST(node.sent.front().home == "n2");
    BOOST_TEST(node.sent.front().request.wanted() == 3U);
    node.answer(row.granted, row.retry_after_ms);
    BOOST_TEST((node.results == row.expected));
    BOOST_TEST(node.posted.empty());
}

// Guards against a message when the node itself is the home, and against tokens that it grants without end.
BOOST_AUTO_TEST_CASE(home_grants_without_a_message) {
    service_fixture node("n1");
    for (int i = 0; i < 12; ++i) {
        node.start();
        node.run_control_thread();
    }
    BOOST_TEST(node.sent.empty());
    BOOST_TEST(std::count(node.results.begin(), node.results.end(), error_kind::none) == 10);
    BOOST_TEST(node.results.size() == 12U);
}

// Guards against a cancelled request that loses a token, and against an ask that stays in flight without it.
BOOST_DATA_TEST_CASE(cancelled_request_leaves_its_token_to_the_next,
                     boost::unit_test::data::make({false, true}), token_is_assigned) {
    service_fixture node("n2");
    boost::asio::cancellation_signal cancel;
    node.start(&cancel);
    node.run_control_thread();
    if (token_is_assigned) {
        const outgoing_quota_request request = node.sent.front();
        wire::QuotaGrant grant;
        grant.set_granted(1);
        node.service.on_answer(request, grant);  // The shard has not run since.
        cancel.emit(boost::asio::cancellation_type::terminal);
        node.poll();
    } else {
        cancel.emit(boost::asio::cancellation_type::terminal);
        node.poll();
        node.answer(1, 0);
    }
    BOOST_TEST(node.cancelled == 1U);
    node.start();
    BOOST_TEST((node.results == std::vector<error_kind>{error_kind::none}));
}

// Guards against a request that waits for its home after its deadline.
BOOST_AUTO_TEST_CASE(deadline_ends_the_wait) {
    service_fixture node("n2");
    node.start(nullptr, 0ms);
    node.poll();
    BOOST_TEST((node.results == std::vector<error_kind>{error_kind::deadline_expired}));
    node.run_control_thread();
    BOOST_TEST(node.sent.empty());
    node.start();
    node.run_control_thread();
    BOOST_TEST(node.sent.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
