#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/clock.h"
#include "modules/proxy/gate.h"
#include "servers/health/crash_quarantine.h"
#include "servers/health/lost_answers.h"
#include "servers/records/decision_log.h"

namespace teaselpitch {

/// Counts the crashes of this node's targets in the quarantine, and reports them. Safe to use from several
/// threads.
class crash_recorder {
public:
    using crash_hook = std::function<void(const std::string& service, const crash_report& crash)>;

    /// `crashed` is called, on any thread, for each request that ran when a target crashed.
    crash_recorder(const time_source& clock, decision_log& decisions, crash_hook crashed);

    /// Counts the crash, the lost answer or the success with which a run ended.
    void on_run_ended(const gate_run_end& end);
    /// The process of the target has ended without an announcement, so the answers that it lost recently
    /// count as crashes.
    void on_process_ended(const target_identity& target);
    /// The target has left as announced, so that its end is no crash.
    void on_departure(const target_identity& target) { lost_.forget(target); }
    /// Records and logs a quarantine that this crash decided here.
    void record_quarantine(const std::string& service, const crash_report& crash);

    crash_quarantine& quarantine() { return quarantine_; }

private:
    void count_crash(const std::string& service, const crash_report& crash, std::string_view request_id);

    decision_log& decisions_;
    const crash_hook crashed_;
    crash_quarantine quarantine_;
    lost_answers lost_;
};

}  // namespace teaselpitch
