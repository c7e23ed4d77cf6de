#include "servers/admission/quota_bank.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "servers/admission/quota_wallet.h"
#include "tests/fixed_seed.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct granted_lot {
    steady_time at;
    std::uint32_t tokens;
};

/// Returns true when no window holds more granted tokens than one bucket allows.
bool is_within_quota(const std::vector<granted_lot>& lots, const account_quota& quota) {
    for (std::size_t first = 0; first < lots.size(); ++first) {
        double sum = 0;
        for (std::size_t last = first; last < lots.size(); ++last) {
            sum += lots[last].tokens;
            const std::chrono::duration<double> window = lots[last].at - lots[first].at;
            if (sum > quota.burst + quota.requests_per_s * window.count() + 1e-6) {
                return false;
            }
        }
    }
    return true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(quota_tokens)

// Guards against tokens that are granted twice because they were returned, or because a full bucket was
// removed.
BOOST_AUTO_TEST_CASE(grants_without_returned_tokens_stay_within_the_bucket) {
    const fixed_seed seed;
    const bool held = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        manual_time_source clock;
        quota_view view(clock, "n1");
        quota_bank bank(clock, view);
        clock.advance(1min);
        const account_quota quota{40, 25};
        std::vector<granted_lot> lots;
        for (const auto& [kind, value] : steps) {
            if (kind % 4 == 0) {
                clock.advance(std::chrono::milliseconds(value * 2));
            } else if (kind % 4 == 1) {
                // The oldest tokens that are still valid.
                const auto lot = std::find_if(lots.begin(), lots.end(), [&](const granted_lot& granted) {
                    return clock.now() - granted.at < 500ms && granted.tokens > 0;
                });
                if (lot != lots.end()) {
                    const std::uint32_t returned = 1 + value % lot->tokens;
                    lot->tokens -= returned;
                    bank.give_back("a", returned);
                }
            } else if (kind % 4 == 2 && value % 4 == 0) {
                bank.on_tick();
            } else {
                lots.push_back({clock.now(), bank.grant("a", value % 30, quota).granted});
            }
        }
        RC_ASSERT(is_within_quota(lots, quota));
    });
    BOOST_TEST(held);
}

// Guards against tokens that are used after their lease, and against a lease that counts from the answer.
BOOST_DATA_TEST_CASE(tokens_expire_half_a_second_after_the_node_asked,
                     boost::unit_test::data::make({0, 199, 200, 300}) ^
                         boost::unit_test::data::make({true, true, false, false}),
                     waited_ms, usable) {
    manual_time_source clock;
    quota_wallet wallet(clock, 1);
    (void)wallet.take("a", {10, 10});
    BOOST_REQUIRE(wallet.begin_ask("a"));
    BOOST_TEST(!wallet.begin_ask("a"));
    const quota_ask ask = wallet.make_ask("a", 1);
    clock.advance(300ms);
    wallet.on_grant(ask, 2, 0ms, 7);
    const quota_take first = wallet.take_again("a");
    clock.advance(std::chrono::milliseconds(waited_ms));
    wallet.give_back("a", first.expires_at);
    for (int token = 0; token < 2; ++token) {
        BOOST_TEST((wallet.take_again("a").result == quota_take::outcome::admitted) == usable);
    }
    BOOST_TEST((wallet.take_again("a").result == quota_take::outcome::undecided));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
