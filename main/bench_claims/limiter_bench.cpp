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
constexpr auto measured_time = 30s;
constexpr auto tick_interval = 100ms;

struct demand_shape {
    const char* name;
    double limit;                  ///< Requests per second.
    double load;                   ///< Demand as a multiple of the limit.
    double active_node_fraction;   ///< Fraction of the nodes that receive requests of the account.
    bool moves_every_5_s = false;  ///< Requests move to other nodes every 5 s.
};

/// Simulates Poisson arrivals of one account at some of the nodes, and one share allocator that receives the
/// demand reports of all nodes.
class account_simulation {
public:
    account_simulation(const demand_shape& shape, std::uint32_t nodes, std::uint64_t seed)
        : shape_(shape),
          random_(seed),
          allocator_(clock_, {}, [this](const limit_key&) { return shape_.limit; }) {
        allocator_.on_fleet_size({nodes, nodes});
        for (std::uint32_t i = 0; i < nodes; ++i) {
            limiters_.push_back(std::make_unique<account_limiter>(
                clock_, share_options{}, [this](const limit_key&) { return shape_.limit; }));
            limiters_.back()->on_fleet_size({nodes, nodes});
        }
    }

    /// Returns the admitted requests per second after the warm-up.
    double run() {
        std::size_t admitted = 0;
        const auto ticks = (warm_up + measured_time) / tick_interval;
        for (std::int64_t i = 0; i < ticks; ++i) {
            clock_.advance(tick_interval);
            const std::size_t node_offset =
                shape_.moves_every_5_s ? static_cast<std::size_t>(i / 50) * 977 : 0;
            const std::size_t now_admitted = offer(node_offset);
            admitted += i >= warm_up / tick_interval ? now_admitted : 0;
            report();
        }
        return static_cast<double>(admitted) / std::chrono::duration<double>(measured_time).count();
    }

    [[nodiscard]] std::size_t reports() const { return reports_; }

private:
    std::size_t offer(std::size_t node_offset) {
        const auto active = static_cast<std::size_t>(
            std::max(1.0, shape_.active_node_fraction * static_cast<double>(limiters_.size())));
        std::poisson_distribution<int> arrivals(shape_.limit * shape_.load / 10 /
                                                static_cast<double>(active));
        std::size_t admitted = 0;
        for (std::size_t i = 0; i < active; ++i) {
            account_limiter& limiter = *limiters_[(i + node_offset) % limiters_.size()];
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
                limiters_[i]->on_grant(allocator_.on_report({"n" + std::to_string(i), 1}, report));
            }
        }
    }

    demand_shape shape_;
    manual_time_source clock_;
    std::mt19937_64 random_;
    share_allocator allocator_;
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
        const double seconds = std::chrono::duration<double>(warm_up + measured_time).count();
        std::printf("%-30s %10.0f %10.0f %10.1f %11.1f%% %16.3f\n", shape.name, shape.limit, demand, admitted,
                    100 * admitted / std::min(shape.limit, demand),
                    static_cast<double>(simulation.reports()) / seconds / nodes);
    }
}

}  // namespace teaselpitch::bench
