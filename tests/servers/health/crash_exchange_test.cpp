#include "servers/health/crash_exchange.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// Nodes that each guard one target and receive the facts of the others after a delay.
class sharing_fleet {
public:
    explicit sharing_fleet(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes_.push_back(std::make_unique<node>());
            node& created = *nodes_.back();
            created.quarantine = std::make_unique<crash_quarantine>(clock_, quarantine_options{});
            created.exchange = std::make_unique<crash_exchange>(
                clock_, node_identity{"n" + std::to_string(i), 1}, *created.quarantine,
                crash_exchange_hooks{
                    .quarantined = [&created](const std::string&,
                                              const crash_report&) { ++created.quarantined; },
                    .released = [&created](std::uint64_t, const std::string&) { ++created.released; }});
        }
    }

    /// The target of a node crashes while requests with these fingerprints run there.
    void crash(std::size_t at, const std::vector<std::uint64_t>& fingerprints) {
        node& crashed = *nodes_[at];
        const target_identity target{"t" + std::to_string(at), ++crashed.target_incarnation};
        for (const std::uint64_t fingerprint : fingerprints) {
            const crash_report report{.fingerprint = fingerprint, .target = target};
            crashed.quarantine->on_crash(report);
            crashed.exchange->on_local_crash("contratos", report);
        }
    }

    /// Delivers the facts of all nodes to all others.
    void spread() {
        for (std::size_t from = 0; from < nodes_.size(); ++from) {
            for (const wire::Fact& fact : nodes_[from]->exchange->take_crash_facts()) {
                ++facts_;
                for (std::size_t to = 0; to < nodes_.size(); ++to) {
                    if (to != from) {
                        nodes_[to]->exchange->apply(fact.crash());
                    }
                }
            }
        }
    }

    /// A node gets a number of complete answers to requests with a fingerprint.
    void succeed(std::size_t at, std::uint64_t fingerprint, int count) {
        for (int i = 0; i < count; ++i) {
            nodes_[at]->quarantine->on_success(fingerprint);
        }
    }

    /// Each node reports its successes in turn, as their seconds begin at different times. Returns the number
    /// of facts.
    std::size_t spread_successes() {
        std::size_t facts = 0;
        for (std::size_t from = 0; from < nodes_.size(); ++from) {
            for (const wire::Fact& fact : nodes_[from]->exchange->take_success_facts()) {
                ++facts;
                for (std::size_t to = 0; to < nodes_.size(); ++to) {
                    if (to != from) {
                        nodes_[to]->exchange->apply(fact.success());
                    }
                }
            }
        }
        return facts;
    }

    manual_time_source& clock() { return clock_; }
    crash_quarantine& quarantine(std::size_t i) { return *nodes_[i]->quarantine; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] std::size_t facts() const { return facts_; }
    [[nodiscard]] std::size_t nodes_that_refuse(std::uint64_t fingerprint) const {
        std::size_t count = 0;
        for (const auto& item : nodes_) {
            count += item->quarantine->is_quarantined(fingerprint) ? 1 : 0;
        }
        return count;
    }

private:
    struct node {
        std::unique_ptr<crash_quarantine> quarantine;
        std::unique_ptr<crash_exchange> exchange;
        std::uint64_t target_incarnation = 0;
        std::size_t quarantined = 0;
        std::size_t released = 0;
    };

    manual_time_source clock_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::size_t facts_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(sharing_crashes)

// Guards against a request that crashes one target after another, each guarded by another node, until it has
// crashed nearly all of them.
BOOST_AUTO_TEST_CASE(crashes_at_different_nodes_quarantine_everywhere) {
    sharing_fleet fleet(26);
    fleet.crash(3, {42, 100});
    fleet.spread();
    BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
    fleet.clock().advance(200ms);
    fleet.crash(17, {42, 101});
    fleet.spread();
    BOOST_TEST(fleet.nodes_that_refuse(42) == fleet.size());
    BOOST_TEST(fleet.nodes_that_refuse(100) == 0U);
    BOOST_TEST(fleet.nodes_that_refuse(101) == 0U);
    BOOST_TEST(fleet.facts() == 2U);
}

// Guards against a request that is quarantined because it met two of many targets that crashed for another
// reason: its first target, and the one that it was retried at.
BOOST_DATA_TEST_CASE(two_of_several_unrelated_crashes_are_chance, boost::unit_test::data::make({3, 6, 9}),
                     crashes) {
    sharing_fleet fleet(12);
    for (int i = 0; i < crashes; ++i) {
        fleet.crash(static_cast<std::size_t>(i), {static_cast<std::uint64_t>(100 + i)});
        fleet.spread();
    }
    fleet.crash(10, {42});
    fleet.spread();
    fleet.crash(11, {42});
    fleet.spread();
    BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
    // The third one is not.
    fleet.crash(0, {42});
    fleet.spread();
    BOOST_TEST(fleet.nodes_that_refuse(42) == fleet.size());
}

// Guards against a fact that does not fit into a datagram, and against a crash that counts from its arrival
// although it lies outside the window.
BOOST_AUTO_TEST_CASE(facts_are_small_and_carry_their_age) {
    manual_time_source clock;
    crash_quarantine own(clock, {});
    crash_exchange exchange(clock, {"a", 1}, own, {});
    for (std::uint64_t i = 0; i < 200; ++i) {
        exchange.on_local_crash("contratos", {.fingerprint = i, .target = {"t", 1}});
    }
    clock.advance(50s);
    const std::vector<wire::Fact> facts = exchange.take_crash_facts();
    BOOST_TEST_REQUIRE(facts.size() == 4U);
    BOOST_TEST(exchange.take_crash_facts().empty());
    crash_quarantine other(clock, {});
    std::size_t quarantined = 0;
    crash_exchange receiver(
        clock, {"b", 1}, other,
        {.quarantined = [&](const std::string&, const crash_report&) { ++quarantined; }, .released = {}});
    for (const wire::Fact& fact : facts) {
        BOOST_TEST(fact.ByteSizeLong() < 700U);
        receiver.apply(fact.crash());
    }
    clock.advance(11s);
    wire::CrashFact second = facts[0].crash();
    second.set_target_incarnation(2);
    second.set_age_ms(~std::uint64_t{0});
    receiver.apply(second);
    second.set_age_ms(0);
    second.set_target_incarnation(3);
    receiver.apply(second);
    BOOST_TEST(quarantined == 0U);
    second.set_target_incarnation(4);
    receiver.apply(second);
    BOOST_TEST(quarantined == 64U);
}

// Guards against a sound request that is banned from the whole fleet, because it was in flight whenever a
// target that goes down and up crashed, although all other targets serve it.
BOOST_AUTO_TEST_CASE(flapping_target_does_not_ban_a_request_that_succeeds_elsewhere) {
    sharing_fleet fleet(10);
    for (int crash = 0; crash < 5; ++crash) {
        fleet.crash(0, {42});
        fleet.spread();
        BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
        for (int second = 0; second < 3; ++second) {
            for (std::size_t i = 1; i < fleet.size(); ++i) {
                fleet.succeed(i, 42, 1);
            }
            fleet.clock().advance(1s);
            fleet.spread_successes();
        }
    }
    BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
}

// Guards against a quarantine that lasts although runs that had begun before it end well at several nodes.
BOOST_AUTO_TEST_CASE(successes_end_a_quarantine_everywhere) {
    sharing_fleet fleet(10);
    fleet.crash(0, {42, 43});
    fleet.spread();
    fleet.crash(0, {42, 43});
    fleet.spread();
    BOOST_TEST(fleet.nodes_that_refuse(42) == fleet.size());
    for (std::size_t i = 1; i < 7; ++i) {
        fleet.succeed(i, 42, 1);
    }
    fleet.spread_successes();
    BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
    // A quarantine that a node declared before it heard of the successes does not come back.
    fleet.quarantine(3).on_quarantine({.fingerprint = 42, .remaining = 300s});
    BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
    BOOST_TEST(fleet.nodes_that_refuse(43) == fleet.size());
    fleet.clock().advance(299s);
    BOOST_TEST(fleet.nodes_that_refuse(43) == fleet.size());
}

// Guards against reports from every node of a large fleet, and against successes that are reported without a
// crash.
BOOST_AUTO_TEST_CASE(few_nodes_report_their_successes) {
    sharing_fleet fleet(350);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.succeed(i, 42, 4);
    }
    BOOST_TEST(fleet.spread_successes() == 0U);
    fleet.crash(0, {42});
    fleet.spread();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.succeed(i, 42, 4);
    }
    BOOST_TEST(fleet.spread_successes() == 3U);
    BOOST_TEST(fleet.spread_successes() == 0U);
}

// Guards against a second series of crashes whose successes are taken for reports that are already known.
BOOST_AUTO_TEST_CASE(later_crashes_are_judged_anew) {
    sharing_fleet fleet(4);
    for (int series = 0; series < 3; ++series) {
        for (int crash = 0; crash < 3; ++crash) {
            fleet.crash(0, {42});
            fleet.spread();
            BOOST_TEST(fleet.nodes_that_refuse(42) == 0U);
            fleet.succeed(1, 42, series == 0 ? 20 : 6);
            fleet.spread_successes();
        }
        fleet.clock().advance(61s);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.quarantine(i).on_tick();
            BOOST_TEST(fleet.quarantine(i).size() == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
