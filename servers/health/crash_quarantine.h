#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"

namespace teaselpitch {

/// Bytes of the request body that take part in the fingerprint.
constexpr std::size_t fingerprint_body_bytes = 64 * 1024;

/// What makes two requests equal for the quarantine.
struct fingerprint_input {
    std::string_view service;
    std::string_view method;
    std::string_view path;  ///< Path and query.
    std::string_view account;
    std::span<const std::byte> body;  ///< At least the first 64 KiB, or all of a shorter body.
};

/// Hash of the parts with their lengths; the same in each process and build.
std::uint64_t fingerprint_of(const fingerprint_input& input);

struct quarantine_options {
    std::chrono::seconds window{60};  ///< Two crashes within this time quarantine.
    std::chrono::seconds duration{300};
    std::size_t most_fingerprints = 4'096;  ///< Bounds the memory.
    std::uint32_t successes_per_crash = 3;  ///< A fingerprint that succeeds this often is not the cause.
};

/// One crash, for the other nodes.
struct crash_report {
    std::uint64_t fingerprint = 0;
    target_identity target{};
};

/// One quarantined fingerprint.
struct quarantined_fingerprint {
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds remaining{0};
};

enum class crash_verdict : std::uint8_t {
    suspected,   ///< One target crashed so far.
    harmless,    ///< Several crashes, but the fingerprint also succeeds often.
    quarantine,  ///< Quarantined by this crash; the other nodes should be told.
    known,       ///< It was quarantined before.
};

/// Finds requests that crash one target after another. Two crashes on different targets, or on two
/// incarnations of one target, within the window quarantine the fingerprint. A request that was retried
/// together with the cause may meet both crashes; when one that never succeeds was in flight at the same
/// crash, those that do succeed are not quarantined. Memory is bounded: the
/// oldest suspicion gives way. Safe to use from several threads; the lock is held for microseconds.
class crash_quarantine {
public:
    crash_quarantine(const time_source& clock, quarantine_options options);

    /// Takes a crash at an own target or from another node; `age` is the time since the crash.
    crash_verdict on_crash(const crash_report& crash, std::chrono::milliseconds age = {});
    /// Counts a whole answer to the fingerprint.
    void on_success(std::uint64_t fingerprint);
    /// Takes a quarantine that another node declared; the remaining time is cut to the duration.
    void on_quarantine(const quarantined_fingerprint& fact);
    /// Forgets what has expired; call about once a second.
    void on_tick();

    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint) const;
    /// True when a request with this fingerprint was in flight at a recent crash.
    [[nodiscard]] bool is_suspect(std::uint64_t fingerprint) const;
    /// Quarantines with their remaining time, for gossip and explain.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantines() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct crash_time {
        target_identity target{};
        steady_time at{};
    };
    struct entry {
        std::vector<crash_time> crashes{};  ///< The last ones, one for each target incarnation.
        steady_time quarantined_until{};
    };
    // Successes by hash of the fingerprint, so that memory does not grow with the traffic.
    static constexpr std::size_t sketch_size = 4'096;
    using sketch = std::array<std::array<std::uint16_t, sketch_size>, 2>;

    [[nodiscard]] bool has_worse_companion(const target_identity& crashed) const;
    [[nodiscard]] static bool has_crash(const entry& item, const target_identity& crashed);
    void add_crash(entry& item, const crash_time& crash) const;
    void release_companions(const target_identity& crashed);
    entry* find_or_add(std::uint64_t fingerprint);
    void make_room();
    void forget_old_crashes(entry& item) const;
    [[nodiscard]] bool quarantined_now(const entry& item) const;
    [[nodiscard]] std::uint32_t successes_of(std::uint64_t fingerprint) const;

    const time_source& clock_;
    const quarantine_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, entry> entries_;
    sketch successes_{};
    steady_time halved_at_;
};

}  // namespace teaselpitch
