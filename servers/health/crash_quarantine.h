#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"

namespace teaselpitch {

/// Maximum number of bytes of the request body that the fingerprint covers.
constexpr std::size_t fingerprint_body_bytes = 64 * 1024;

/// Parts of a request that identify it for the quarantine.
struct fingerprint_input {
    std::string_view service;
    std::string_view method;
    std::string_view path;  ///< Path and query.
    std::string_view account;
    std::span<const std::byte> body;  ///< At least the first 64 KiB, or the whole of a shorter body.
};

/// Returns a hash of the parts and their lengths. It is the same in every process and build.
std::uint64_t compute_fingerprint(const fingerprint_input& input);

struct quarantine_options {
    std::chrono::seconds window{60};  ///< Two crashes within this time quarantine a fingerprint.
    std::chrono::seconds duration{300};
    std::size_t max_fingerprints = 4'096;  ///< Bounds the memory.
    std::uint32_t successes_per_crash =
        3;  ///< A fingerprint with this success count per crash is not the cause.
};

/// One crash as reported to the other nodes.
struct crash_report {
    std::uint64_t fingerprint = 0;
    target_identity target{};
};

/// Complete answers to requests with a fingerprint that was in flight at a crash.
struct success_report {
    std::uint64_t fingerprint = 0;
    std::uint32_t successes = 0;  ///< Since the reporting node learned of the crash.
};

/// One quarantined fingerprint and the remaining duration.
struct quarantined_fingerprint {
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds remaining{0};
};

enum class crash_verdict : std::uint8_t {
    suspected,  ///< Too few target incarnations crashed so far.
    harmless,  ///< Several crashes, but the fingerprint also succeeds often or another one is the more likely
               ///< cause.
    quarantine,           ///< Quarantined by this crash; the other nodes must be notified.
    already_quarantined,  ///< Quarantined before this crash.
};

/// Detects requests that crash one target after another, from the crashes of the whole fleet. Two crashes on
/// different targets, or on two incarnations of one target, within the window quarantine the fingerprint;
/// three while targets also crash without it, because a request that is retried then meets two crashes by
/// chance. A harmless request that was retried together with the cause may be in flight at both crashes, and
/// one that is requested often is in flight at each crash of a target that goes down and up. Successes
/// anywhere in the fleet since the first crash show that it is harmless, and end its quarantine. When a
/// fingerprint that never succeeds was in flight at the same crash, fingerprints that succeed are not
/// quarantined. Memory is bounded by evicting the entry with the oldest crash. Safe to use from several
/// threads; the lock is held for microseconds.
class crash_quarantine {
public:
    crash_quarantine(const time_source& clock, quarantine_options options);

    /// Applies a crash of a local target or a report from another node. `age` is the time since the crash.
    crash_verdict on_crash(const crash_report& crash, std::chrono::milliseconds age = {});
    /// Counts a complete answer to a request with this fingerprint. Returns true when it ends a quarantine.
    bool on_success(std::uint64_t fingerprint);
    /// Sets the successes that another node has counted. Returns true when they end a quarantine.
    bool on_reported_successes(const success_report& report, const node_identity& origin);
    /// Applies a quarantine declared by another node, unless the fingerprint succeeds often. The remaining
    /// time is limited to the configured duration.
    void on_quarantine(const quarantined_fingerprint& fact);
    /// Returns the successes of this node that the other nodes need to tell a harmless fingerprint, and have
    /// not been returned before.
    std::vector<success_report> take_success_reports();
    /// Removes expired entries. Call about once a second.
    void on_tick();

    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint) const;
    /// Returns true when a request with this fingerprint was in flight at a recent crash.
    [[nodiscard]] bool is_suspect(std::uint64_t fingerprint) const;
    /// Returns the quarantines with their remaining time, for gossip and the explain query.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantines() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct crash_time {
        target_identity target{};
        steady_time occurred_at{};
    };
    struct entry {
        std::vector<crash_time> crashes{};  ///< Most recent crashes, one per target incarnation.
        steady_time quarantined_until{};
        std::uint32_t own_successes = 0;       ///< Exact count since the entry was added.
        std::uint32_t reported_successes = 0;  ///< Part of own_successes that was returned to be reported.
        std::map<node_identity, std::uint32_t> other_successes{};  ///< By the node that counted them.
        steady_time heard_at{};                                    ///< Time of the last report of successes.
    };
    // Count-min sketch of the successes per fingerprint, so that memory does not grow with the traffic.
    static constexpr std::size_t sketch_size = 4'096;
    using sketch = std::array<std::array<std::uint16_t, sketch_size>, 2>;

    void add_recent_crash(const crash_time& crash);
    [[nodiscard]] static std::uint32_t reported_by_others(const entry& item);
    [[nodiscard]] std::uint32_t successes_of(std::uint64_t fingerprint, const entry& item) const;
    [[nodiscard]] std::uint32_t sufficient_successes() const;
    [[nodiscard]] std::uint32_t harmless_successes(const entry& item) const;
    bool release_if_harmless(std::uint64_t fingerprint, entry& item);
    [[nodiscard]] std::size_t required_crashes(const entry& item) const;
    [[nodiscard]] bool has_likelier_cause(const target_identity& crashed) const;
    [[nodiscard]] static bool has_crash(const entry& item, const target_identity& crashed);
    void add_crash(entry& item, const crash_time& crash) const;
    void release_succeeding_fingerprints(const target_identity& crashed);
    entry* find_or_add(std::uint64_t fingerprint);
    void evict_entry();
    void remove_expired_crashes(entry& item) const;
    [[nodiscard]] bool is_quarantined_now(const entry& item) const;
    [[nodiscard]] std::uint32_t estimate_successes(std::uint64_t fingerprint) const;

    const time_source& clock_;
    const quarantine_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::deque<crash_time> recent_crashes_;  ///< One per target incarnation, the oldest first.
    sketch successes_{};
    steady_time halved_at_;
};

}  // namespace teaselpitch
