#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "servers/exchange/exchange.h"
#include "servers/routing/work_distribution.h"

namespace teaselpitch {

struct work_estimator_options {
    double initial_work_ms = 20;             ///< Estimate for a service without any finished run.
    std::chrono::seconds half_life{60};      ///< Time after which a sample has half of its weight.
    double max_weight = 512;                 ///< The oldest samples lose weight beyond this sum.
    double fallback_weight = 16;             ///< Weight of the coarser estimate, in samples.
    std::size_t max_keys_per_level = 1'024;  ///< Bounds the memory.
};

/// Properties of a request that its work depends on, as hashes from the finest to the coarsest.
struct work_key {
    static constexpr std::size_t level_count = 4;
    std::array<std::uint64_t, level_count> levels{};
};

/// Returns the key of a request: service; route and method; size bucket; account.
work_key make_work_key(const request_head& head);

/// Learns how much work requests cause, from the duration of runs that ended with a successful answer.
///
/// Requests that look alike cost very different amounts of work (on one deployment, 3 in 100 take seven times
/// the mean), so a distribution is kept for each key. The estimate of a key with few samples is drawn
/// towards that of the next coarser key. Callers must not pass failed or refused runs: their duration says
/// nothing about the work. Safe to use from several threads; the lock is held for microseconds.
class work_estimator {
public:
    explicit work_estimator(const time_source& clock, work_estimator_options options = {});

    /// Adds the duration of a successful run.
    void learn(const work_key& key, std::chrono::nanoseconds work);

    /// Mean work of a request.
    [[nodiscard]] double mean_ms(const work_key& key) const;
    /// Mean work of all requests of the service.
    [[nodiscard]] double service_mean_ms(const work_key& key) const;
    /// Work that a share of the requests does not exceed, from the finest key with enough samples.
    [[nodiscard]] double quantile_ms(const work_key& key, double share) const;
    /// Mean remaining work of a request that has run for `elapsed`.
    [[nodiscard]] double remaining_ms(const work_key& key, std::chrono::nanoseconds elapsed) const;
    /// Number of keys of all levels.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        work_distribution work;
        steady_time decayed_at{};
    };
    /// Keeps the keys used most recently: when the current half is full, it replaces the previous one.
    class level {
    public:
        entry& get(std::uint64_t key, std::size_t max_keys);
        [[nodiscard]] const entry* find(std::uint64_t key) const;
        [[nodiscard]] std::size_t size() const { return current_.size() + previous_.size(); }

    private:
        using entry_map = absl::flat_hash_map<std::uint64_t, entry>;
        entry_map current_;
        entry_map previous_;
    };

    void decay(entry& item, steady_time now) const;

    const time_source& clock_;
    const work_estimator_options options_;
    mutable std::mutex mutex_;
    std::array<level, work_key::level_count> levels_;
};

}  // namespace teaselpitch
