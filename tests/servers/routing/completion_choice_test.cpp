// Load: many nodes that choose from outdated reports, zones with uneven demand, and targets of different
// speed.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "servers/routing/target_backlog.h"
#include "servers/routing/target_chooser.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr double mean_work_ms = 50;
const expected_work usual_work{.request_ms = mean_work_ms, .service_mean_ms = mean_work_ms};

std::vector<target_candidate> make_targets(int zones, int targets_per_zone, steady_time now) {
    std::vector<target_candidate> targets;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < targets_per_zone; ++i) {
            const std::string name = "t" + std::to_string(zone) + "." + std::to_string(i);
            targets.push_back({.identity = {name, 1},
                               .node = "n" + name,
                               .zone = "z" + std::to_string(zone),
                               .slots = 4,
                               .ready_since = now - 1h});
        }
    }
    return targets;
}

load_report report_of(const std::string& target, std::uint32_t requests, double wait_ms, double speed = 1) {
    return {.target = target,
            .slots = 4,
            .running = std::min(requests, 4U),
            .queued = requests - std::min(requests, 4U),
            .expected_wait_ms = wait_ms,
            .speed = speed};
}

struct zone_case {
    const char* name;
    std::uint32_t local_requests;  ///< At each target of four slots; the other zone is idle.
    double local_wait_ms;
    double low;  ///< Share that stays in the local zone.
    double high;
};
std::ostream& operator<<(std::ostream& out, const zone_case& item) {
    return out << item.name;
}
const std::vector<zone_case> zone_cases{
    {"both idle", 0, 0, 1, 1},
    {"one request more than elsewhere", 1, 0, 0.9, 1},
    {"a long wait", 6, 500, 0, 0.1},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(completion_choices)

// Guards against requests that cross zones for an advantage within the noise, and against a busy zone that
// keeps its requests while another one is idle.
BOOST_DATA_TEST_CASE(other_zones_only_for_a_real_advantage, boost::unit_test::data::make(zone_cases), item) {
    manual_time_source clock;
    target_chooser chooser(clock, {.local_zone = "z0"}, 7);
    const auto targets = make_targets(2, 3, clock.now());
    chooser.update(targets, {});
    for (const target_candidate& target : targets) {
        const bool local = target.zone == "z0";
        chooser.on_load_report(
            report_of(target.identity.name, local ? item.local_requests : 0, local ? item.local_wait_ms : 0));
    }
    constexpr int choices = 1'000;
    int local = 0;
    for (int i = 0; i < choices; ++i) {
        local += chooser.choose({}, usual_work).target->zone() == "z0" ? 1 : 0;
    }
    BOOST_TEST(local >= item.low * choices);
    BOOST_TEST(local <= item.high * choices);
}

// Guards against herding: all nodes hear at the same time that one target is idle and the others are busy.
// Within one mean run, before any new report, it must not get more than its slots and a short queue.
BOOST_AUTO_TEST_CASE(nodes_do_not_all_choose_the_idle_target) {
    manual_time_source clock;
    const auto targets = make_targets(1, 12, clock.now());
    std::vector<std::unique_ptr<target_chooser>> nodes;
    std::vector<target_choice> chosen;
    std::map<std::string, int> counts;
    for (std::uint64_t node = 0; node < 40; ++node) {
        nodes.push_back(
            std::make_unique<target_chooser>(clock, chooser_options{.local_zone = "z0"}, node + 1));
        nodes.back()->update(targets, {});
        for (const target_candidate& target : targets) {
            const bool idle = target.identity.name == "t0.3";
            nodes.back()->on_load_report(report_of(target.identity.name, idle ? 0 : 4, idle ? 0 : 40));
        }
        chosen.push_back(nodes.back()->choose({}, usual_work));
        ++counts[chosen.back().target->target().name];
    }
    BOOST_TEST(counts["t0.3"] >= 1);
    BOOST_TEST(counts["t0.3"] <= 14);
}

// Guards against a slow target that gets as many requests as the others, and against one that gets none, so
// that nobody notices when it has recovered.
BOOST_AUTO_TEST_CASE(slow_target_gets_fewer_requests_but_some) {
    manual_time_source clock;
    target_chooser chooser(clock, {.local_zone = "z0"}, 7);
    const auto targets = make_targets(1, 4, clock.now());
    chooser.update(targets, {});
    for (const target_candidate& target : targets) {
        chooser.on_load_report(
            report_of(target.identity.name, 0, 0, target.identity.name == "t0.0" ? 0.25 : 1));
    }
    std::map<std::string, int> counts;
    for (int i = 0; i < 4'000; ++i) {
        if (i % 8 == 0) {
            clock.advance(1ms);
        }
        const target_choice choice = chooser.choose({}, usual_work);
        ++counts[choice.target->target().name];
    }
    BOOST_TEST(counts["t0.0"] < 1'000 / 2);
    // While other targets are idle, a slow one need not be used; it must be once they are full.
    for (const target_candidate& target : targets) {
        if (target.identity.name != "t0.0") {
            chooser.on_load_report(report_of(target.identity.name, 8, 2'000));
        }
    }
    bool used = false;
    for (int i = 0; i < 100; ++i) {
        used = used || chooser.choose({}, usual_work).target->target().name == "t0.0";
    }
    BOOST_TEST(used);
}

// Guards against values of a faulty peer that make a target attractive for ever or break the choice.
BOOST_AUTO_TEST_CASE(absurd_reports_do_no_harm) {
    manual_time_source clock;
    target_chooser chooser(clock, {.local_zone = "z0"}, 7);
    chooser.update(make_targets(1, 2, clock.now()), {});
    for (const double value : {-1.0, 1e300, std::nan(""), std::numeric_limits<double>::infinity()}) {
        chooser.on_load_report(report_of("t0.0", 4, value, value));
        std::map<std::string, int> counts;
        std::vector<target_choice> running;
        for (int i = 0; i < 100; ++i) {
            running.push_back(chooser.choose({}, usual_work));
            ++counts[running.back().target->target().name];
        }
        BOOST_TEST(counts["t0.1"] >= 25);
    }
}

namespace {

struct day_result {
    double on_time = 0;          ///< Share of the requests answered within the objective.
    double busiest_to_mean = 0;  ///< Occupied time of the busiest target's slots against the mean.
};

/// 24 targets of four slots in three zones and a node beside each, which gets reports only with its own
/// answers. Half of the demand is in the first zone, 3 in 100 requests take seven times the mean, and one
/// target is three times slower.
class small_fleet {
public:
    explicit small_fleet(bool cost_aware) : cost_aware_(cost_aware) {
        const auto targets = make_targets(3, 8, clock_.now());
        for (std::size_t i = 0; i < targets.size(); ++i) {
            targets_.push_back(std::make_unique<target>(clock_, i == 5 ? 3.0 : 1.0));
            index_[targets[i].identity.name] = i;
            nodes_.push_back(std::make_unique<target_chooser>(
                clock_, chooser_options{.local_zone = targets[i].zone}, i + 1));
            nodes_.back()->update(targets, {});
        }
    }

    day_result run(double load) {
        constexpr double seconds = 40;
        constexpr double slots = 24 * 4;
        const double rate_per_ms = load * slots / mean_work_ms;
        std::exponential_distribution<double> gap(rate_per_ms);
        for (double now = 0; now < seconds * 1'000; now += gap(random_)) {
            finish_until(now);
            advance_to(now);
            arrive(now);
        }
        finish_until(1e9);
        double sum = 0;
        double largest = 0;
        for (const auto& item : targets_) {
            sum += item->busy_ms;
            largest = std::max(largest, item->busy_ms);
        }
        return {on_time_ / arrived_, largest / (sum / static_cast<double>(targets_.size()))};
    }

private:
    struct request {
        std::size_t node = 0;
        double arrived_at = 0;
        double work_ms = 0;
        std::uint64_t ticket = 0;
        std::shared_ptr<target_choice> choice{};
    };
    struct target {
        target(const time_source& clock, double slowness_in)
            : slowness(slowness_in), estimator(clock), backlog(clock, estimator) {}
        double slowness;
        work_estimator estimator;
        target_backlog backlog;
        std::uint32_t running = 0;
        std::deque<request> queue{};
        double busy_ms = 0;
    };
    struct completion {
        double at = 0;
        std::size_t target = 0;
        request done{};
        double run_ms = 0;
        bool operator>(const completion& other) const { return at > other.at; }
    };

    void advance_to(double now) {
        clock_.advance(std::chrono::nanoseconds(static_cast<std::int64_t>((now - clock_ms_) * 1e6)));
        clock_ms_ = now;
    }
    void arrive(double now) {
        const std::size_t zone = random_() % 4 < 2 ? 0 : 1 + random_() % 2;
        request item{.node = zone * 8 + random_() % 8, .arrived_at = now};
        const double base = mean_work_ms / (0.97 + 0.03 * 7);
        item.work_ms = random_() % 100 < 3 ? 7 * base : base;
        item.ticket = ++tickets_;
        std::optional<expected_work> work;
        if (cost_aware_) {
            work = usual_work;
        }
        item.choice = std::make_shared<target_choice>(nodes_[item.node]->choose({}, work));
        const std::size_t index = index_.at(item.choice->target->target().name);
        target& chosen = *targets_[index];
        arrived_ += 1;
        chosen.busy_ms += item.work_ms * chosen.slowness;
        chosen.backlog.on_offered(item.ticket, key_);
        if (chosen.running < 4) {
            start(index, item, now);
        } else {
            chosen.queue.push_back(item);
        }
    }
    void start(std::size_t index, const request& item, double now) {
        target& chosen = *targets_[index];
        ++chosen.running;
        chosen.backlog.on_admitted(item.ticket);
        const double run_ms = item.work_ms * chosen.slowness;
        completions_.push({now + run_ms, index, item, run_ms});
    }
    void finish_until(double now) {
        while (!completions_.empty() && completions_.top().at <= now) {
            completion next = completions_.top();
            completions_.pop();
            advance_to(next.at);
            target& chosen = *targets_[next.target];
            --chosen.running;
            chosen.backlog.on_run_end(next.done.ticket, run_verdict::success,
                                      std::chrono::nanoseconds(static_cast<std::int64_t>(next.run_ms * 1e6)));
            if (!chosen.queue.empty()) {
                const request waiting = chosen.queue.front();
                chosen.queue.pop_front();
                start(next.target, waiting, next.at);
            }
            // The objective is three times the mean work.
            on_time_ += next.at - next.done.arrived_at <= 3 * mean_work_ms ? 1 : 0;
            const backlog_report backlog = chosen.backlog.report(4);
            load_report report = report_of(next.done.choice->target->target().name,
                                           chosen.running + static_cast<std::uint32_t>(chosen.queue.size()),
                                           backlog.expected_wait_ms, backlog.speed);
            nodes_[next.done.node]->on_load_report(report);
        }
    }

    const bool cost_aware_;
    manual_time_source clock_;
    double clock_ms_ = 0;
    std::mt19937 random_{20261207};
    work_key key_{{4, 3, 2, 1}};
    std::uint64_t tickets_ = 0;
    double arrived_ = 0;
    double on_time_ = 0;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<std::unique_ptr<target_chooser>> nodes_;
    std::map<std::string, std::size_t> index_;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> completions_;
};

}  // namespace

// Guards against a choice by completion that answers fewer requests within the objective than the choice by
// the number of requests, or loads the busiest target more.
BOOST_DATA_TEST_CASE(completion_choice_serves_more_on_time, boost::unit_test::data::make({0.5, 0.7, 0.8}),
                     load) {
    const day_result without = small_fleet(false).run(load);
    const day_result with = small_fleet(true).run(load);
    BOOST_TEST_MESSAGE("load " << load << ": on time " << without.on_time << " -> " << with.on_time
                               << ", busiest to mean " << without.busiest_to_mean << " -> "
                               << with.busiest_to_mean);
    BOOST_TEST(with.on_time >= without.on_time);
    BOOST_TEST(with.busiest_to_mean <= without.busiest_to_mean);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
