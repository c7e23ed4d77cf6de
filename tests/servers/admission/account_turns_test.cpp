// Load: callers of many client accounts compete for the slots of a full gate; one account asks for several
// times its usual amount, and running requests make calls that carry no account.
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "servers/admission/account_order.h"
#include "servers/admission/admission_queue.h"
#include "tests/fixed_seed.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct order_case {
    const char* name;
    std::vector<account_order_item> items;
    work_by_account running;
    std::vector<std::size_t> order;
};
std::ostream& operator<<(std::ostream& out, const order_case& item) {
    return out << item.name;
}
const std::vector<order_case> order_cases{
    {"rank before account", {{1, false, 0, 1ms}, {0, true, 1, 1ms}}, {}, {1, 0}},
    {"calls before accounts of their rank", {{0, true, 1, 1ms}, {0, false, 0, 1ms}}, {}, {1, 0}},
    {"turns", {{0, true, 1, 1ms}, {0, true, 1, 1ms}, {0, true, 2, 1ms}}, {}, {2, 0, 1}},
    {"running work counts", {{0, true, 1, 1ms}, {0, true, 2, 1ms}}, {{1, 5ms}}, {1, 0}},
    {"work and not the number of requests",
     {{0, true, 1, 9ms}, {0, true, 2, 1ms}, {0, true, 2, 1ms}},
     {},
     {1, 2, 0}},
};

/// A gate with four slots and requests of 20 ms, 3 in 100 of which take seven times the mean. Each account
/// arrives at its own rate.
class gate_day {
public:
    explicit gate_day(bool fair)
        : queue_(clock_, {.slots = 4, .max_queued = 64, .max_wait = 300ms, .fair_accounts = fair}) {}

    struct account_result {
        double arrived = 0;
        double served = 0;
        [[nodiscard]] double share() const { return arrived > 0 ? served / arrived : 1; }
    };

    /// `rates` are requests per second. Returns the requests answered within their objective.
    std::vector<account_result> run(const std::vector<double>& rates, int seconds) {
        std::vector<account_result> results(rates.size());
        for (int step = 0; step < seconds * 1'000; ++step) {
            clock_.advance(1ms);
            finish_due(results);
            for (std::size_t account = 0; account < rates.size(); ++account) {
                if (uniform_(random_) < rates[account] / 1'000) {
                    results[account].arrived += 1;
                    offer(account);
                }
            }
            apply(queue_.on_tick());
        }
        return results;
    }

private:
    struct request {
        std::size_t account = 0;
        steady_time objective{};
        steady_time ends_at{};
        bool running = false;
    };

    void offer(std::size_t account) {
        const ticket_id ticket = ++tickets_;
        const steady_time now = clock_.now();
        requests_[ticket] = {.account = account, .objective = now + 200ms};
        const std::string name = "account" + std::to_string(account);
        const offer_result result = queue_.offer(
            ticket, {.deadline = now + 400ms, .objective = now + 200ms, .work_class = 1, .account = name});
        for (const dropped_ticket& dropped : result.dropped) {
            requests_.erase(dropped.ticket);
        }
        if (result.outcome == offer_outcome::admitted) {
            start(ticket);
        } else if (result.outcome == offer_outcome::refused) {
            requests_.erase(ticket);
        }
    }
    void start(ticket_id ticket) {
        request& item = requests_.at(ticket);
        item.running = true;
        item.ends_at = clock_.now() + (uniform_(random_) < 0.03 ? 119ms : 17ms);
    }
    void finish_due(std::vector<account_result>& results) {
        std::vector<ticket_id> due;
        for (const auto& [ticket, item] : requests_) {
            if (item.running && item.ends_at <= clock_.now()) {
                due.push_back(ticket);
            }
        }
        for (const ticket_id ticket : due) {
            const request item = requests_.at(ticket);
            results[item.account].served += clock_.now() <= item.objective ? 1 : 0;
            requests_.erase(ticket);
            apply(queue_.release(ticket));
        }
    }
    void apply(const admission_change& change) {
        for (const dropped_ticket& dropped : change.dropped) {
            requests_.erase(dropped.ticket);
        }
        for (const ticket_id ticket : change.admitted) {
            start(ticket);
        }
    }

    manual_time_source clock_;
    admission_queue queue_;
    std::mt19937 random_{20261207};
    std::uniform_real_distribution<double> uniform_{0, 1};
    ticket_id tickets_ = 0;
    std::map<ticket_id, request> requests_;
};

/// A full gate with four running requests of one account.
struct full_gate {
    manual_time_source clock;
    admission_queue queue{clock, {.slots = 4, .max_queued = 8, .max_wait = 10s, .fair_accounts = true}};
    ticket_id next_ticket = 1;

    full_gate() {
        for (int i = 0; i < 4; ++i) {
            offer("running");
        }
    }
    offer_result offer(std::string_view account, std::chrono::milliseconds deadline = 5s,
                       std::uint32_t rank = 0) {
        return queue.offer(next_ticket++,
                           {.deadline = clock.now() + deadline, .rank = rank, .account = account});
    }
    std::vector<ticket_id> release(ticket_id ticket) { return queue.release(ticket).admitted; }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(account_turns)

// Guards against an order by arrival alone, in which the account with the most requests gets the slots.
BOOST_DATA_TEST_CASE(accounts_take_turns_by_work, boost::unit_test::data::make(order_cases), item) {
    BOOST_TEST(order_by_account(item.items, item.running) == item.order, boost::test_tools::per_element());
}

// Guards against calls that wait behind new work, while the requests that made them hold slots elsewhere.
BOOST_AUTO_TEST_CASE(calls_run_before_new_work_of_their_rank) {
    full_gate gate;
    gate.offer("a");
    const ticket_id urgent = gate.next_ticket;
    BOOST_TEST((gate.offer("b", 5s).outcome == offer_outcome::queued));
    const ticket_id call = gate.next_ticket;
    BOOST_TEST((gate.offer("", 5s).outcome == offer_outcome::queued));
    const ticket_id late_call = gate.next_ticket;
    gate.offer("", 5s, 1);
    BOOST_TEST(gate.release(1) == std::vector<ticket_id>{call}, boost::test_tools::per_element());
    gate.release(2);
    BOOST_TEST(gate.release(3) == std::vector<ticket_id>{urgent}, boost::test_tools::per_element());
    BOOST_TEST(gate.release(4) == std::vector<ticket_id>{late_call}, boost::test_tools::per_element());
}

// Guards against a request that waits although its deadline is shorter than the expected wait.
BOOST_AUTO_TEST_CASE(requests_that_cannot_be_answered_are_refused_at_once) {
    full_gate gate;
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST((gate.offer("a").outcome == offer_outcome::queued));
    }
    // It takes 20 ms, and a slot is expected to be free after 5 ms.
    const offer_result refused = gate.offer("a", 22ms);
    BOOST_TEST((refused.outcome == offer_outcome::refused));
    BOOST_TEST(refused.retry_after.count() > 0);
    BOOST_TEST((gate.offer("b", 60ms).outcome == offer_outcome::queued));
}

// Guards against an account that fills the queue, so that others are refused, and against a dropped request
// without an answer.
BOOST_AUTO_TEST_CASE(full_queue_drops_the_last_turn) {
    full_gate gate;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST((gate.offer("large").outcome == offer_outcome::queued));
    }
    const ticket_id last_of_large = gate.next_ticket - 1;
    BOOST_TEST((gate.offer("large").outcome == offer_outcome::refused));
    const offer_result small = gate.offer("small");
    BOOST_TEST((small.outcome == offer_outcome::queued));
    BOOST_REQUIRE_EQUAL(small.dropped.size(), 1U);
    BOOST_TEST(small.dropped[0].ticket == last_of_large);
    BOOST_TEST(gate.queue.load().queued == 8U);
}

// Guards against an account with eight times its usual demand that takes slots from the others. They must be
// answered in time as often as without it.
BOOST_AUTO_TEST_CASE(surge_of_one_account_takes_nothing_from_the_others) {
    // Ten accounts with 70% of the capacity of 200 requests per second.
    std::vector<double> rates(10, 14.0);
    const auto usual = gate_day(true).run(rates, 60);
    rates[0] *= 8;
    const auto surge = gate_day(true).run(rates, 60);
    const auto without = gate_day(false).run(rates, 60);
    double usual_served = 0;
    double surge_served = 0;
    double without_served = 0;
    for (std::size_t account = 1; account < rates.size(); ++account) {
        usual_served += usual[account].share() / 9;
        surge_served += surge[account].share() / 9;
        without_served += without[account].share() / 9;
    }
    BOOST_TEST_MESSAGE("others on time: usual " << usual_served << ", surge " << surge_served
                                                << ", surge without turns " << without_served);
    BOOST_TEST(surge_served >= usual_served - 0.02);
    BOOST_TEST(surge_served >= without_served);
    // The surging account gets what is left.
    BOOST_TEST(surge[0].served > usual[0].served);
}

// Guards against an account that gets hardly any turns: none may be served less than a quarter as often as
// all, whatever the demand, as long as the accounts are of one order of magnitude.
BOOST_AUTO_TEST_CASE(no_account_starves) {
    const fixed_seed seed;
    const bool holds = rc::check([]() {
        const auto sizes = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(1, 5));
        const int demand = *rc::gen::inRange(100, 400);  // Capacity: about 200 requests per second.
        const int sum = std::accumulate(sizes.begin(), sizes.end(), 0);
        std::vector<double> rates;
        rates.reserve(sizes.size());
        for (const int size : sizes) {
            rates.push_back(static_cast<double>(size) * demand / sum);
        }
        gate_day day(true);
        const auto results = day.run(rates, 10);
        double arrived = 0;
        double served = 0;
        for (const auto& result : results) {
            arrived += result.arrived;
            served += result.served;
        }
        for (const auto& result : results) {
            RC_ASSERT(result.share() >= served / arrived / 4);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
