#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

#include "core/clock.h"

namespace teaselpitch {

/// Decides whether crashes of one target count against it.
///
/// A crash breaks every request in flight, so each of their fingerprints is under suspicion. The crashes
/// are withheld until other work fails as well: plain failures, or a second crash that shares no
/// fingerprint with the first one. Not thread-safe.
class crash_evidence {
public:
    void on_crash(steady_time now, std::uint64_t fingerprint);
    void on_plain_failure(steady_time now);
    /// Forgets what is too old to count.
    void on_tick(steady_time now);

    /// True while crashes are held against the requests and not against the target.
    [[nodiscard]] bool withholds() const;

private:
    struct crash {
        steady_time at{};
        std::set<std::uint64_t> fingerprints{};
    };

    std::deque<crash> crashes_;
    std::deque<steady_time> plain_failures_;
};

}  // namespace teaselpitch
