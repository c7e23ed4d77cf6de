#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "main/bench_claims/benches.h"
#include "servers/admission/admission_queue.h"

namespace teaselpitch::bench {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::uint32_t slots = 7;
constexpr double mean_service_ms = 20;
constexpr double service_sigma =
    0.5;  // Standard deviation of the logarithm; p99 is about three times the mean.
constexpr auto measured_time = 60s;

enum class discipline { queue, fifo, none };

struct workload {
    const char* name;
    std::vector<milliseconds> deadlines;  ///< Each request draws one of them with equal probability.
};

struct job {
    steady_time arrival;
    steady_time deadline;
    nanoseconds service{};
    std::uint32_t account = 0;
};

struct outcome {
    std::size_t good = 0;
    std::size_t late = 0;
    std::vector<std::size_t> good_by_account = std::vector<std::size_t>(5);
};

/// Simulates one target with open-loop arrivals. A request that has started always runs to completion.
class target_simulation {
public:
    target_simulation(discipline kind, const workload& load, double multiple, std::uint64_t seed)
        : discipline_(kind),
          queue_(clock_, {.slots = slots, .max_queued = 64, .max_wait = 200ms, .initial_service_time = 20ms}),
          random_(seed),
          arrival_gap_ms_(multiple * slots / mean_service_ms),
          workload_(load) {}

    outcome run() {
        const steady_time end = clock_.now() + measured_time;
        schedule_arrival();
        while (clock_.now() < end) {
            const bool arrives = completions_.empty() || next_arrival_ <= completions_.top().first;
            clock_.advance((arrives ? next_arrival_ : completions_.top().first) - clock_.now());
            if (arrives) {
                arrive();
                schedule_arrival();
            } else {
                const ticket_id done = completions_.top().second;
                completions_.pop();
                finish(done);
            }
        }
        return result_;
    }

private:
    void schedule_arrival() {
        next_arrival_ = clock_.now() + nanoseconds(static_cast<std::int64_t>(arrival_gap_ms_(random_) * 1e6));
    }

    void arrive() {
        std::lognormal_distribution<double> service(
            std::log(mean_service_ms) - service_sigma * service_sigma / 2, service_sigma);
        job next{.arrival = clock_.now(), .deadline = {}, .service = {}, .account = 0};
        next.deadline = clock_.now() + workload_.deadlines[random_() % workload_.deadlines.size()];
        next.service = nanoseconds(static_cast<std::int64_t>(service(random_) * 1e6));
        // Account 0 sends half of all requests; four other accounts share the rest.
        next.account = random_() % 2 == 0 ? 0 : static_cast<std::uint32_t>(1 + random_() % 4);
        const ticket_id ticket = ++last_ticket_;
        jobs_[ticket] = next;
        offer(ticket, next);
    }

    void offer(ticket_id ticket, const job& next) {
        if (discipline_ == discipline::queue) {
            if (queue_.offer(ticket, next.deadline, std::to_string(next.account)).outcome ==
                offer_outcome::admitted) {
                start(ticket);
            }
        } else if (completions_.size() < slots) {
            start(ticket);
        } else if (discipline_ == discipline::fifo) {
            fifo_.push_back(ticket);
        }
    }

    void start(ticket_id ticket) { completions_.emplace(clock_.now() + jobs_[ticket].service, ticket); }

    void finish(ticket_id ticket) {
        const job& done = jobs_[ticket];
        if (clock_.now() <= done.deadline) {
            ++result_.good;
            ++result_.good_by_account[done.account];
        } else {
            ++result_.late;
        }
        jobs_.erase(ticket);
        if (discipline_ == discipline::queue) {
            for (const ticket_id next : queue_.release(ticket).admitted) {
                start(next);
            }
        } else if (!fifo_.empty()) {
            const ticket_id next = fifo_.front();
            fifo_.pop_front();
            start(next);
        }
    }

    using completion_event = std::pair<steady_time, ticket_id>;

    discipline discipline_;
    manual_time_source clock_;
    admission_queue queue_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> arrival_gap_ms_;
    const workload& workload_;
    steady_time next_arrival_{};
    ticket_id last_ticket_ = 0;
    std::unordered_map<ticket_id, job> jobs_;
    std::deque<ticket_id> fifo_;
    std::priority_queue<completion_event, std::vector<completion_event>, std::greater<>> completions_;
    outcome result_;
};

}  // namespace

void run_goodput(double load, std::uint64_t seed) {
    const std::vector<workload> workloads{{"50 ms", {50ms}},
                                          {"100 ms", {100ms}},
                                          {"1 s", {1000ms}},
                                          {"50 ms to 1 s", {50ms, 100ms, 250ms, 1000ms}}};
    const double capacity =
        slots * std::chrono::duration<double, std::milli>(measured_time).count() / mean_service_ms;
    std::printf("%-14s %-8s %10s %10s %16s\n", "deadlines", "queue", "goodput", "late", "least account");
    for (const workload& next : workloads) {
        for (const auto& [kind, name] :
             {std::pair{discipline::queue, "deadline"}, std::pair{discipline::fifo, "fifo"},
              std::pair{discipline::none, "none"}}) {
            const outcome result = target_simulation(kind, next, load, seed).run();
            const auto least =
                *std::min_element(result.good_by_account.begin(), result.good_by_account.end());
            std::printf("%-14s %-8s %9.1f%% %9.1f%% %15.1f%%\n", next.name, name,
                        100 * static_cast<double>(result.good) / capacity,
                        100 * static_cast<double>(result.late) / capacity,
                        100 * static_cast<double>(least) / capacity);
        }
    }
}

}  // namespace teaselpitch::bench
