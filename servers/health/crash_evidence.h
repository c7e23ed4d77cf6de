#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

#include "core/clock.h"

namespace teaselpitch {

/// Decides whether crashes of one target count against it.
///
/// A crash breaks all requests in flight, so each of their fingerprints may be the cause. The crashes are
/// withheld from the evidence against the target until other requests fail as well: by plain failures, or by
/// further crashes such that no fingerprint was in flight at all of them. Not thread-safe.
class crash_evidence {
public:
    void on_crash(steady_time now, std::uint64_t fingerprint);
    void on_plain_failure(steady_time now);
    /// Removes expired crashes and failures.
    void on_tick(steady_time now);

    /// Returns true while crashes count against the requests and not against the target.
    [[nodiscard]] bool withholds_crashes() const;

private:
    struct crash {
        steady_time occurred_at{};
        std::set<std::uint64_t> fingerprints{};
    };

    std::deque<crash> crashes_;
    std::deque<steady_time> plain_failures_;
};

}  // namespace teaselpitch
