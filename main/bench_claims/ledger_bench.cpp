#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "main/bench_claims/benches.h"
#include "servers/claims/claim_ledger.h"
#include "servers/claims/slot_holder.h"

namespace teaselpitch::bench {
namespace {

using std::chrono::nanoseconds;
using std::chrono::steady_clock;

const slot_id slot{"contratos", 0};
constexpr std::size_t answer_body_bytes = 200;  // Size of the body.

std::string make_key(std::size_t number) {
    const std::string digits = std::to_string(number);
    return "account-17" + std::string(26 - digits.size(), '0') +
           digits;  // 36 characters, the length of a UUID.
}

stored_answer make_answer() {
    stored_answer answer;
    answer.head.status = 201;
    answer.head.headers = {{"Content-Type", "application/json"}};
    answer.body = std::string(answer_body_bytes, 'x');
    return answer;
}

template <typename Call>
double mean_nanoseconds(std::size_t count, Call call) {
    const auto start = steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        call(i);
    }
    return static_cast<double>(nanoseconds(steady_clock::now() - start).count()) / static_cast<double>(count);
}

struct benchmark_node {
    system_time_source clock;
    claim_ledger ledger;
    slot_holder holder;

    explicit benchmark_node(bool keep_answers)
        : ledger(clock, {.max_answer_bytes = keep_answers ? 16U * 1024 : 0,
                         .max_claims = 400'000,
                         .max_total_bytes = std::size_t{1} << 30}),
          holder(clock, make_slot_options({}), {"n0", 1}, slot, ledger) {
        holder.on_assignment({.slot = slot, .epoch = 1, .holder = {"n0", 1}});
        holder.on_fresh_log_read(clock.now());
    }

    void run(const std::string& key) {
        const slot_decision decision = holder.decide(key, {.first_send = true}, 1, 0);
        const auto permit = holder.refresh_permit(decision.permit);
        if (permit && holder.may_write_now(*permit)) {
            ledger.finish(slot, key, decision.claim.token, make_answer());
        }
    }
};

void measure(std::size_t live_claims, bool keep_answers) {
    const std::size_t measured_requests = 10'000;
    const auto memory_before = static_cast<double>(mallinfo2().uordblks);
    benchmark_node node(keep_answers);
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < live_claims + measured_requests; ++i) {
        keys.push_back(make_key(i));
    }
    const auto memory_keys = static_cast<double>(mallinfo2().uordblks) - memory_before;
    const double fill = mean_nanoseconds(live_claims, [&](std::size_t i) { node.run(keys[i]); });
    const auto memory = static_cast<double>(mallinfo2().uordblks) - memory_before - memory_keys;
    node.holder.on_fresh_log_read(node.clock.now());
    const double run =
        mean_nanoseconds(measured_requests, [&](std::size_t i) { node.run(keys[live_claims + i]); });
    const double replay = mean_nanoseconds(measured_requests, [&](std::size_t i) {
        node.holder.decide(keys[i * 7919 % live_claims], {}, 1, 0);
    });
    const claim_counts counts = node.ledger.counts();
    std::printf("%8zu %8s %10.0f %10.0f %10.0f %12.0f %12.0f\n", live_claims, keep_answers ? "200 B" : "none",
                fill, run, replay, memory / static_cast<double>(live_claims),
                static_cast<double>(counts.bytes) / static_cast<double>(live_claims + measured_requests));
}

}  // namespace

void run_ledger() {
    std::printf("%8s %8s %10s %10s %10s %12s %12s\n", "claims", "answers", "fill ns", "run ns", "replay ns",
                "bytes/claim", "estimate");
    for (const bool keep_answers : {false, true}) {
        for (const std::size_t live_claims : {10'000, 50'000, 100'000, 200'000}) {
            measure(live_claims, keep_answers);
        }
    }
}

}  // namespace teaselpitch::bench
