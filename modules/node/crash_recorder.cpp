#include "modules/node/crash_recorder.h"

#include <utility>

#include "core/event_log.h"

namespace teaselpitch {

crash_recorder::crash_recorder(const time_source& clock, decision_log& decisions, crash_hook crashed)
    : decisions_(decisions),
      crashed_(std::move(crashed)),
      quarantine_(clock, quarantine_options{}),
      lost_(clock) {}

void crash_recorder::on_run_ended(const gate_run_end& end) {
    const request_head& head = end.run.head;
    const target_identity& target = end.run.target.identity();
    if (end.result.error == error_kind::none) {
        if (quarantine_.on_success(head.fingerprint)) {
            log_event(event_level::info, "quarantine_ended",
                      {{"fingerprint", head.fingerprint}, {"request_id", head.request_id}});
        }
    } else if (end.result.target_crashed) {
        count_crash(head.service, {head.fingerprint, target}, head.request_id);
    } else if (end.result.answer_lost) {
        lost_.add({.target = target, .service = head.service, .fingerprint = head.fingerprint});
    }
}

void crash_recorder::on_process_ended(const target_identity& target) {
    for (const lost_answer& lost : lost_.take(target)) {
        count_crash(lost.service, {lost.fingerprint, lost.target}, "");
    }
}

void crash_recorder::count_crash(const std::string& service, const crash_report& crash,
                                 std::string_view request_id) {
    const crash_verdict verdict = quarantine_.on_crash(crash);
    log_event(event_level::warning, "target_crash",
              {{"target", crash.target.name},
               {"request_id", request_id},
               {"fingerprint", crash.fingerprint},
               {"quarantined", verdict == crash_verdict::quarantine}});
    if (verdict == crash_verdict::quarantine) {
        record_quarantine(service, crash);
    }
    crashed_(service, crash);
}

void crash_recorder::record_quarantine(const std::string& service, const crash_report& crash) {
    decision_record record;
    record.subject = decision_subject::service;
    record.id = service;
    record.service = service;
    record.decision = "quarantined";
    record.rule = "crashes on different targets within the window";
    record.evidence = {{"fingerprint", std::to_string(crash.fingerprint)}, {"target", crash.target.name}};
    decisions_.add(std::move(record));
    log_event(event_level::warning, "quarantined",
              {{"service", service}, {"fingerprint", crash.fingerprint}, {"target", crash.target.name}});
}

}  // namespace teaselpitch
