#include "servers/routing/target_chooser.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(choosing)

using namespace std::chrono_literals;

struct chooser_fixture {
    manual_time_source clock;
    std::vector<target_candidate> targets;
    std::vector<zone_limit> limits;
    target_chooser chooser{clock, {.local_zone = "z0"}, 7};

    void add(const std::string& name, const std::string& zone, double share = 1.0) {
        targets.push_back({.identity = {name, 1},
                           .node = "n-" + name,
                           .zone = zone,
                           .slots = 4,
                           .share = share,
                           .ready_since = clock.now() - 1h});
    }
    void update_chooser() { chooser.update(targets, limits); }
    // Each chosen request ends immediately, so that no load accumulates.
    std::map<std::string, int> choose_repeatedly(int count, const std::vector<std::string>& excluded = {}) {
        std::map<std::string, int> choice_counts;
        for (int i = 0; i < count; ++i) {
            const target_choice chosen = chooser.choose(excluded);
            ++choice_counts[chosen.target ? chosen.target->target().name
                                          : std::string(get_error_answer(chosen.error).name)];
        }
        return choice_counts;
    }
};

// Guards against requests that cross zones although the local zone has spare capacity, and against a full
// zone that receives all requests.
BOOST_AUTO_TEST_CASE(local_zone_first_then_spill_by_spare_capacity) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z1");
    f.add("c", "z2");
    f.update_chooser();
    BOOST_TEST(f.choose_repeatedly(100)["a"] == 100);
    f.chooser.on_load_report({.target = "a", .slots = 4, .running = 4, .queued = 2});
    f.chooser.on_load_report({.target = "b", .slots = 4, .running = 2});
    const auto choice_counts = f.choose_repeatedly(3'000);
    BOOST_TEST(choice_counts.at("c") > choice_counts.at("b") * 3 / 2);
    BOOST_TEST(choice_counts.at("b") > 500);
}

// Guards against an outdated load report that still affects the choice.
BOOST_AUTO_TEST_CASE(load_reports_expire) {
    chooser_fixture f;
    f.add("a", "z0");
    f.update_chooser();
    f.chooser.on_load_report({.target = "a", .slots = 4, .running = 4, .queued = 4});
    BOOST_TEST(f.chooser.load_of("a").value() == 2.0);
    f.clock.advance(1s);
    BOOST_TEST(f.chooser.load_of("a").value() == 1.0);
    f.clock.advance(1s);
    BOOST_TEST(f.chooser.load_of("a").value() == 0.0);
    const target_choice chosen = f.chooser.choose({});
    BOOST_TEST(f.chooser.load_of("a").value() == 0.25);
}

struct share_case {
    double share;
    int low;
    int high;
};
std::ostream& operator<<(std::ostream& out, const share_case& item) {
    return out << item.share;
}
// Bounds for one of four targets in 40,000 choices: 10,000 times the share, with 5 standard deviations.
const std::vector<share_case> share_cases{
    {0.0, 0, 0}, {0.01, 80, 190}, {0.05, 560, 800}, {0.25, 2'850, 3'300}};

// Guards against trial traffic above its share because an idle target has the lowest load.
BOOST_DATA_TEST_CASE(trial_target_gets_its_share, boost::unit_test::data::make(share_cases), item) {
    chooser_fixture f;
    f.add("a", "z0", item.share);
    for (const char* name : {"b", "c", "d"}) {
        f.add(name, "z0");
    }
    f.update_chooser();
    const int choice_counts = f.choose_repeatedly(40'000)["a"];
    BOOST_TEST(choice_counts >= item.low);
    BOOST_TEST(choice_counts <= item.high);
}

// Guards against full traffic to a cold target.
BOOST_AUTO_TEST_CASE(warm_up_share_increases) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z0");
    f.targets[0].ready_since = f.clock.now();
    f.update_chooser();
    int previous = 0;
    for (int step = 0; step < 5; ++step) {
        const int choice_counts = f.choose_repeatedly(4'000)["a"];
        BOOST_TEST(choice_counts > previous);
        previous = choice_counts;
        f.clock.advance(2'500ms);
    }
    BOOST_TEST(previous > 1'800);
}

// Guards against a retry at the same target and against more requests than the zone limit.
BOOST_AUTO_TEST_CASE(exclusions_and_zone_limits_are_respected) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z0");
    f.add("c", "z1");
    f.limits = {{.zone = "z0", .max_concurrent_requests = 2}, {.zone = "z1", .max_concurrent_requests = 1}};
    f.update_chooser();
    BOOST_TEST(f.choose_repeatedly(100, {"a"})["b"] == 100);
    BOOST_TEST(f.choose_repeatedly(10, {"a", "b", "c"})["no_target"] == 10);
    std::vector<target_choice> chosen;
    for (int i = 0; i < 3; ++i) {
        chosen.push_back(f.chooser.choose({}));
        BOOST_TEST_REQUIRE(chosen.back().target.has_value());
    }
    BOOST_TEST(f.choose_repeatedly(10)["overloaded"] == 10);
    chosen.clear();
    BOOST_TEST(f.choose_repeatedly(10).contains("overloaded") == false);
}

// Guards against new requests to a target whose load report says that it is leaving.
BOOST_AUTO_TEST_CASE(leaving_report_stops_new_requests) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z1");
    f.update_chooser();
    f.chooser.on_load_report({.target = "a", .leaving = true});
    BOOST_TEST(f.choose_repeatedly(100)["b"] == 100);
}

// Guards against a service without any usable target although some targets can accept requests.
BOOST_AUTO_TEST_CASE(lowest_scores_are_chosen_without_shares) {
    chooser_fixture f;
    for (const char* name : {"a", "b", "c"}) {
        f.add(name, "z0", 0.0);
    }
    f.targets[0].outlier_score = 5.0;
    f.targets[1].outlier_score = 1.0;
    f.targets[2].outlier_score = 1.05;
    f.update_chooser();
    const auto choice_counts = f.choose_repeatedly(1'000);
    BOOST_TEST(!choice_counts.contains("a"));
    BOOST_TEST(choice_counts.at("b") > 400);
    BOOST_TEST(choice_counts.at("c") > 400);
}

// Guards against an idle target that receives no more requests than a loaded one.
BOOST_AUTO_TEST_CASE(power_of_two_choices_prefers_the_less_loaded) {
    chooser_fixture f;
    for (const char* name : {"a", "b", "c"}) {
        f.add(name, "z0");
    }
    f.update_chooser();
    f.chooser.on_load_report({.target = "a", .slots = 4, .running = 3});
    const auto choice_counts = f.choose_repeatedly(3'000);
    BOOST_TEST(!choice_counts.contains("a"));
}

// Guards against wrong counts of outstanding requests when threads choose during a view update.
BOOST_AUTO_TEST_CASE(counts_stay_correct_during_concurrent_updates) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z0");
    f.update_chooser();
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int t = 0; t < 3; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < 2'000; ++i) {
                const target_choice chosen = f.chooser.choose({});
                f.chooser.on_load_report({.target = "a", .slots = 4});
            }
        });
    }
    for (int i = 0; i < 50; ++i) {
        f.update_chooser();
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(f.chooser.load_of("a").value() == 0.0);
    BOOST_TEST(f.chooser.load_of("b").value() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
