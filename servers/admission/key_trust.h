#pragma once

#include <atomic>
#include <chrono>

#include "core/clock.h"

namespace teaselpitch {

struct key_trust_options {
    /// False accepts the keys of the configuration in force for as long as the node runs.
    bool fail_closed = false;
    /// Time without contact after which a node that fails closed accepts no key.
    std::chrono::milliseconds revoke_after{5'000};
};

/// Decides whether a node may accept account keys although one of them could have been withdrawn without its
/// knowledge. Safe for use by several threads.
class key_trust {
public:
    key_trust(const time_source& clock, key_trust_options options)
        : clock_(clock), options_(options), last_contact_(clock.now()) {}

    /// Records that the store or another node was reached, so that a later configuration would be known.
    void on_contact() { last_contact_ = clock_.now(); }

    [[nodiscard]] bool accepts_keys() const {
        return !options_.fail_closed || clock_.now() - last_contact_.load() < options_.revoke_after;
    }

private:
    const time_source& clock_;
    const key_trust_options options_;
    std::atomic<steady_time> last_contact_;
};

}  // namespace teaselpitch
