#include "servers/health/crash_exchange.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <span>
#include <utility>

namespace teaselpitch {
namespace {

using std::chrono::milliseconds;

// Keeps a fact well below the size of a datagram.
constexpr std::size_t max_fingerprints_per_fact = 64;
// Older crashes are no evidence, and an unlimited age would overflow the clock.
constexpr milliseconds max_crash_age{3'600'000};

}  // namespace

crash_exchange::crash_exchange(const time_source& clock, node_identity self, crash_quarantine& quarantine,
                               crash_exchange_hooks hooks)
    : clock_(clock), self_(std::move(self)), quarantine_(quarantine), hooks_(std::move(hooks)) {}

void crash_exchange::on_local_crash(const std::string& service, const crash_report& crash) {
    pending_crash& pending = pending_[crash.target];
    if (pending.fingerprints.empty()) {
        pending.service = service;
        pending.occurred_at = clock_.now();
    }
    pending.fingerprints.push_back(crash.fingerprint);
}

void crash_exchange::apply(const wire::CrashFact& fact) {
    const target_identity target{fact.target(), fact.target_incarnation()};
    const milliseconds age{
        std::min<std::uint64_t>(fact.age_ms(), static_cast<std::uint64_t>(max_crash_age.count()))};
    for (const std::uint64_t fingerprint : fact.fingerprints()) {
        const crash_report crash{.fingerprint = fingerprint, .target = target};
        if (quarantine_.on_crash(crash, age) == crash_verdict::quarantine) {
            hooks_.quarantined(fact.service(), crash);
        }
    }
}

void crash_exchange::apply(const wire::SuccessFact& fact) {
    constexpr std::uint64_t most = std::numeric_limits<std::uint16_t>::max();
    const success_report report{.fingerprint = fact.fingerprint(),
                                .successes = static_cast<std::uint32_t>(std::min(fact.successes(), most))};
    if (quarantine_.on_reported_successes(report, {fact.origin_node(), fact.origin_incarnation()})) {
        hooks_.released(fact.fingerprint(), fact.origin_node());
    }
}

std::vector<wire::Fact> crash_exchange::take_success_facts() {
    std::vector<wire::Fact> facts;
    for (const success_report& report : quarantine_.take_success_reports()) {
        wire::SuccessFact& message = *facts.emplace_back().mutable_success();
        message.set_fingerprint(report.fingerprint);
        message.set_origin_node(self_.name);
        message.set_origin_incarnation(self_.incarnation);
        message.set_successes(report.successes);
        message.set_sequence(++sequence_);
    }
    return facts;
}

std::vector<wire::Fact> crash_exchange::take_crash_facts() {
    std::vector<wire::Fact> facts;
    for (const auto& [target, crash] : std::exchange(pending_, {})) {
        add_crash_facts(target, crash, facts);
    }
    return facts;
}

void crash_exchange::add_crash_facts(const target_identity& target, const pending_crash& crash,
                                     std::vector<wire::Fact>& facts) {
    const auto age = std::chrono::duration_cast<milliseconds>(clock_.now() - crash.occurred_at);
    std::span<const std::uint64_t> remaining(crash.fingerprints);
    while (!remaining.empty()) {
        wire::CrashFact& message = *facts.emplace_back().mutable_crash();
        message.set_target(target.name);
        message.set_target_incarnation(target.incarnation);
        message.set_service(crash.service);
        message.set_origin_node(self_.name);
        message.set_origin_incarnation(self_.incarnation);
        message.set_sequence(++sequence_);
        message.set_age_ms(static_cast<std::uint64_t>(age.count()));
        const auto part = remaining.first(std::min(remaining.size(), max_fingerprints_per_fact));
        message.mutable_fingerprints()->Add(part.begin(), part.end());
        remaining = remaining.subspan(part.size());
    }
}

}  // namespace teaselpitch
