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
    std::vector<choosable_target> targets;
    std::vector<zone_limit> limits;
    target_chooser subject{clock, {.own_zone = "z0"}, 7};

    void add(const std::string& name, const std::string& zone, double share = 1.0) {
        targets.push_back({.identity = {name, 1},
                           .node = "n-" + name,
                           .zone = zone,
                           .slots = 4,
                           .share = share,
                           .ready_since = clock.now() - 1h});
    }
    void apply() { subject.update(targets, limits); }
    // Draws that end at once, so that load does not build up.
    std::map<std::string, int> draw(int count, const std::vector<std::string>& excluded = {}) {
        std::map<std::string, int> drawn;
        for (int i = 0; i < count; ++i) {
            const choice made = subject.choose(excluded);
            ++drawn[made.target ? made.target->target().name
                                : std::string(get_error_answer(made.error).name)];
        }
        return drawn;
    }
};

// Guards against work that crosses zones although the own zone has room, and against a full zone that
// gets all work.
BOOST_AUTO_TEST_CASE(own_zone_first_then_spill_by_room) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z1");
    f.add("c", "z2");
    f.apply();
    BOOST_TEST(f.draw(100)["a"] == 100);
    f.subject.on_load({.target = "a", .slots = 4, .running = 4, .queued = 2});
    f.subject.on_load({.target = "b", .slots = 4, .running = 2});
    const auto drawn = f.draw(3'000);
    BOOST_TEST(drawn.at("c") > drawn.at("b") * 3 / 2);
    BOOST_TEST(drawn.at("b") > 500);
}

// Guards against a load report that steers traffic long after it was true.
BOOST_AUTO_TEST_CASE(load_reports_age) {
    chooser_fixture f;
    f.add("a", "z0");
    f.apply();
    f.subject.on_load({.target = "a", .slots = 4, .running = 4, .queued = 4});
    BOOST_TEST(f.subject.load_of("a").value() == 2.0);
    f.clock.advance(1s);
    BOOST_TEST(f.subject.load_of("a").value() == 1.0);
    f.clock.advance(1s);
    BOOST_TEST(f.subject.load_of("a").value() == 0.0);
    const choice held = f.subject.choose({});
    BOOST_TEST(f.subject.load_of("a").value() == 0.25);
}

struct share_case {
    double share;
    int low;
    int high;
};
std::ostream& operator<<(std::ostream& out, const share_case& item) {
    return out << item.share;
}
// Fair share of one of four targets in 40,000 draws: 10,000 times the share, with 5 standard deviations.
const std::vector<share_case> shares{{0.0, 0, 0}, {0.01, 80, 190}, {0.05, 560, 800}, {0.25, 2'850, 3'300}};

// Guards against trial traffic that exceeds its share because an idle target wins by its load.
BOOST_DATA_TEST_CASE(trial_gets_its_share, boost::unit_test::data::make(shares), item) {
    chooser_fixture f;
    f.add("a", "z0", item.share);
    for (const char* name : {"b", "c", "d"}) {
        f.add(name, "z0");
    }
    f.apply();
    const int drawn = f.draw(40'000)["a"];
    BOOST_TEST(drawn >= item.low);
    BOOST_TEST(drawn <= item.high);
}

// Guards against full traffic to a cold target.
BOOST_AUTO_TEST_CASE(warm_up_share_rises) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z0");
    f.targets[0].ready_since = f.clock.now();
    f.apply();
    int previous = 0;
    for (int step = 0; step < 5; ++step) {
        const int drawn = f.draw(4'000)["a"];
        BOOST_TEST(drawn > previous);
        previous = drawn;
        f.clock.advance(2'500ms);
    }
    BOOST_TEST(previous > 1'800);
}

// Guards against a retry at the same target and against a crossed zone limit.
BOOST_AUTO_TEST_CASE(exclusions_and_limits_hold) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z0");
    f.add("c", "z1");
    f.limits = {{.zone = "z0", .concurrent = 2}, {.zone = "z1", .concurrent = 1}};
    f.apply();
    BOOST_TEST(f.draw(100, {"a"})["b"] == 100);
    BOOST_TEST(f.draw(10, {"a", "b", "c"})["no_target"] == 10);
    std::vector<choice> held;
    for (int i = 0; i < 3; ++i) {
        held.push_back(f.subject.choose({}));
        BOOST_TEST_REQUIRE(held.back().target.has_value());
    }
    BOOST_TEST(f.draw(10)["overloaded"] == 10);
    held.clear();
    BOOST_TEST(f.draw(10).contains("overloaded") == false);
}

// Guards against new work for a target that told in its answer that it is leaving.
BOOST_AUTO_TEST_CASE(leaving_report_stops_new_work) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z1");
    f.apply();
    f.subject.on_load({.target = "a", .leaving = true});
    BOOST_TEST(f.draw(100)["b"] == 100);
}

// Guards against a service without any target in service although some could take work.
BOOST_AUTO_TEST_CASE(without_shares_the_least_bad_get_the_work) {
    chooser_fixture f;
    for (const char* name : {"a", "b", "c"}) {
        f.add(name, "z0", 0.0);
    }
    f.targets[0].badness = 5.0;
    f.targets[1].badness = 1.0;
    f.targets[2].badness = 1.05;
    f.apply();
    const auto drawn = f.draw(1'000);
    BOOST_TEST(!drawn.contains("a"));
    BOOST_TEST(drawn.at("b") > 400);
    BOOST_TEST(drawn.at("c") > 400);
}

// Guards against an idle target that gets no more work than a loaded one.
BOOST_AUTO_TEST_CASE(two_choices_prefer_the_less_loaded) {
    chooser_fixture f;
    for (const char* name : {"a", "b", "c"}) {
        f.add(name, "z0");
    }
    f.apply();
    f.subject.on_load({.target = "a", .slots = 4, .running = 3});
    const auto drawn = f.draw(3'000);
    BOOST_TEST(!drawn.contains("a"));
}

// Guards against outstanding counts that drift when threads choose while the view is replaced.
BOOST_AUTO_TEST_CASE(counts_survive_concurrent_updates) {
    chooser_fixture f;
    f.add("a", "z0");
    f.add("b", "z0");
    f.apply();
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int t = 0; t < 3; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < 2'000; ++i) {
                const choice made = f.subject.choose({});
                f.subject.on_load({.target = "a", .slots = 4});
            }
        });
    }
    for (int i = 0; i < 50; ++i) {
        f.apply();
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(f.subject.load_of("a").value() == 0.0);
    BOOST_TEST(f.subject.load_of("b").value() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
