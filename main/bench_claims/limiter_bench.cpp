#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "main/bench_claims/benches.h"
#include "servers/admission/account_limiter.h"
#include "servers/admission/share_allocator.h"

namespace teaselpitch::bench {
namespace {

using namespace std::chrono_literals;

constexpr auto warm_up = 5s;
constexpr auto length = 30s;
constexpr auto tick = 100ms;

struct demand_shape {
    const char* name;
    double limit;        ///< Requests per second.
    double load;         ///< Demand as a multiple of the limit.
    double share;        ///< Part of the nodes that see the account.
    bool moves = false;  ///< Other nodes see the account every 5 s.
};

/// Poisson arrivals of one account at some of the nodes, with one home that hears all of them.
class account_simulation {
public:
    account_simulation(const demand_shape& shape, std::uint32_t nodes, std::uint64_t seed)
        : shape_(shape), random_(seed), home_(clock_, {}, [this](const limit_key&) { return shape_.limit; }) {
        home_.on_fleet_size({nodes, nodes});
        for (std::uint32_t i = 0; i < nodes; ++i) {
            limiters_.push_back(std::make_unique<account_limiter>(
                clock_, share_options{}, [this](const limit_key&) { return shape_.limit; }));
            limiters_.back()->on_fleet_size({nodes, nodes});
        }
    }

    /// Admitted requests per second after the start.
    double run() {
        std::size_t admitted = 0;
        const auto ticks = (warm_up + length) / tick;
        for (std::int64_t i = 0; i < ticks; ++i) {
            clock_.advance(tick);
            const std::size_t shift = shape_.moves ? static_cast<std::size_t>(i / 50) * 977 : 0;
            const std::size_t now_admitted = offer(shift);
            admitted += i >= warm_up / tick ? now_admitted : 0;
            report();
        }
        return static_cast<double>(admitted) / std::chrono::duration<double>(length).count();
    }

    [[nodiscard]] std::size_t reports() const { return reports_; }

private:
    std::size_t offer(std::size_t shift) {
        const auto active =
            static_cast<std::size_t>(std::max(1.0, shape_.share * static_cast<double>(limiters_.size())));
        std::poisson_distribution<int> arrivals(shape_.limit * shape_.load / 10 /
                                                static_cast<double>(active));
        std::size_t admitted = 0;
        for (std::size_t i = 0; i < active; ++i) {
            account_limiter& limiter = *limiters_[(i + shift) % limiters_.size()];
            for (int left = arrivals(random_); left > 0; --left) {
                admitted += limiter.admit("account", "limits").admitted ? 1 : 0;
            }
        }
        return admitted;
    }

    void report() {
        for (std::size_t i = 0; i < limiters_.size(); ++i) {
            for (const demand_report& report : limiters_[i]->on_tick()) {
                ++reports_;
                limiters_[i]->on_grant(home_.on_report({"n" + std::to_string(i), 1}, report));
            }
        }
    }

    demand_shape shape_;
    manual_time_source clock_;
    std::mt19937_64 random_;
    share_allocator home_;
    std::vector<std::unique_ptr<account_limiter>> limiters_;
    std::size_t reports_ = 0;
};

}  // namespace

void run_limiter(std::uint32_t nodes, std::uint64_t seed) {
    const std::vector<demand_shape> shapes{
        {"4 nodes, half the limit", 100, 0.5, 0.00125},    {"4 nodes, twice the limit", 100, 2, 0.00125},
        {"4 nodes, twice, moving", 100, 2, 0.00125, true}, {"all nodes, half the limit", 32'000, 0.5, 1},
        {"all nodes, twice the limit", 32'000, 2, 1},      {"all nodes, 0.1/s each, half", 320, 0.5, 1},
        {"all nodes, 0.1/s each, twice", 320, 2, 1}};
    std::printf("%-30s %10s %10s %10s %12s %16s\n", "account", "limit/s", "demand/s", "admitted/s",
                "of allowed", "reports/node/s");
    for (const demand_shape& shape : shapes) {
        account_simulation simulation(shape, nodes, seed);
        const double admitted = simulation.run();
        const double demand = shape.limit * shape.load;
        const double seconds = std::chrono::duration<double>(warm_up + length).count();
        std::printf("%-30s %10.0f %10.0f %10.1f %11.1f%% %16.3f\n", shape.name, shape.limit, demand, admitted,
                    100 * admitted / std::min(shape.limit, demand),
                    static_cast<double>(simulation.reports()) / seconds / nodes);
    }
}

}  // namespace teaselpitch::bench
