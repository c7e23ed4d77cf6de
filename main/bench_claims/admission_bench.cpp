#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "main/bench_claims/benches.h"
#include "servers/admission/admission_queue.h"

namespace teaselpitch::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t offers_per_thread = 300'000;

/// Offers tickets to the queue and releases each one that runs. A release may admit tickets of other threads;
/// the thread that made this release then releases them too.
void offer_and_release(admission_queue& queue, const time_source& clock, std::uint64_t thread) {
    const std::string account = "account-" + std::to_string(thread);
    std::vector<ticket_id> running;
    for (std::uint64_t i = 0; i < offers_per_thread; ++i) {
        const ticket_id ticket = thread * offers_per_thread + i;
        if (queue.offer(ticket, clock.now() + 1s, account).outcome == offer_outcome::admitted) {
            running.push_back(ticket);
        }
        while (!running.empty()) {
            const ticket_id done = running.back();
            running.pop_back();
            const std::vector<ticket_id> admitted = queue.release(done).admitted;
            running.insert(running.end(), admitted.begin(), admitted.end());
        }
    }
}

}  // namespace

void run_admission() {
    std::printf("%8s %16s\n", "threads", "offers/s");
    for (const std::uint64_t threads : {1, 2, 4, 8}) {
        const system_time_source clock;
        admission_queue queue(clock, {.slots = 7, .max_queued = 64, .initial_service_time = 1ms});
        std::vector<std::thread> workers;
        const auto start = std::chrono::steady_clock::now();
        for (std::uint64_t i = 0; i < threads; ++i) {
            workers.emplace_back([&, i] { offer_and_release(queue, clock, i); });
        }
        for (std::thread& worker : workers) {
            worker.join();
        }
        const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
        std::printf("%8llu %16.0f\n", static_cast<unsigned long long>(threads),
                    static_cast<double>(threads * offers_per_thread) / time.count());
    }
}

}  // namespace teaselpitch::bench
