#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/gossip.pb.h"
#include "servers/health/crash_quarantine.h"

namespace teaselpitch {

struct crash_exchange_hooks {
    /// A crash that another node reported quarantined a fingerprint here.
    std::function<void(const std::string& service, const crash_report& crash)> quarantined;
    /// The successes that another node reported ended a quarantine here.
    std::function<void(std::uint64_t fingerprint, const std::string& origin_node)> released;
};

/// Shares the evidence of the quarantine between the nodes of the fleet, so that each node decides from all
/// crashes. Not thread-safe.
class crash_exchange {
public:
    crash_exchange(const time_source& clock, node_identity self, crash_quarantine& quarantine,
                   crash_exchange_hooks hooks);

    // Commands.

    /// Records a crash of a local target, which the quarantine has already counted.
    void on_local_crash(const std::string& service, const crash_report& crash);
    /// Counts a crash that another node reported.
    void apply(const wire::CrashFact& fact);
    /// Counts the successes that another node reported.
    void apply(const wire::SuccessFact& fact);
    /// Returns the facts to gossip since the last call. One crash fact covers the requests that ran at a
    /// crash.
    std::vector<wire::Fact> take_crash_facts();
    /// Returns the successes to gossip. Call about once a second, at a different time on each node, so that
    /// most nodes need not report what others already have.
    std::vector<wire::Fact> take_success_facts();

private:
    struct pending_crash {
        std::string service;
        steady_time occurred_at{};
        std::vector<std::uint64_t> fingerprints;
    };

    void add_crash_facts(const target_identity& target, const pending_crash& crash,
                         std::vector<wire::Fact>& facts);

    const time_source& clock_;
    const node_identity self_;
    crash_quarantine& quarantine_;
    const crash_exchange_hooks hooks_;
    std::map<target_identity, pending_crash> pending_;
    std::uint64_t sequence_ = 0;
};

}  // namespace teaselpitch
