#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include "core/clock.h"
#include "modules/proxy/guarded_target.h"
#include "modules/proxy/slot_loan.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Called immediately before the first byte of a request is sent to a target; false ends the exchange as not
/// run.
using write_permission = std::function<bool()>;

/// A run of a request at a target, as reported to the target's outlier detector.
struct gate_run {
    const request_head& head;
    const guarded_target& target;
    ticket_id ticket;
};

/// Result of a run.
struct gate_run_end {
    const gate_run& run;
    const exchange_result& result;
    unsigned http_status;  ///< 0 when there was no answer head.
    std::chrono::nanoseconds
        head_latency;  ///< Time until the answer head, or until the end of the run when there was none.
};

/// Callbacks of the gate into the node. All of them run on the shard of the exchange and must not block.
struct gate_hooks {
    /// Returns the target of a name; null when this node does not guard it.
    std::function<std::shared_ptr<guarded_target>(std::string_view name)> find_target;
    /// Returns true when requests with the same fingerprint crashed several targets.
    std::function<bool(const request_head&)> is_quarantined;
    /// Returns true when the request should go to another target, because this one failed its latest
    /// requests. Null when targets are never suspect.
    std::function<bool(const request_head&, const guarded_target&)> is_suspect = nullptr;
    /// Returns true when the retry budget of the target admits the request, which is a retry or may be caused
    /// by one. Null when the gate does not limit retries.
    std::function<bool(const request_head&, const guarded_target&)> has_retry_budget = nullptr;
    /// Counts a request that is about to be sent; returns false when it is a retry, or probably caused by
    /// one, and the budget is used up. Null when the gate does not limit retries.
    std::function<bool(const request_head&, const guarded_target&)> count_arrival = nullptr;
    std::function<awaitable<exchange_result>(const guarded_target&, const request_head&, body_reader&,
                                             response_writer&, const write_permission&)>
        send;
    std::function<void(const gate_run&)> run_started;
    std::function<void(const gate_run_end&)> run_ended;
    std::function<void(const request_head&, const exchange_result&)> refused;
};

struct gate_options {
    /// Longest answer that the ingress holds. A longer one is sent at the speed of the caller.
    std::size_t held_answer_bytes = std::size_t{64} * 1024;
};

/// Admits requests to the targets that this node guards. The gate refuses a request before any byte is sent
/// to the target, and leaves the body unread. Each shard has its own gate; the guarded targets are shared.
class gate final : public exchange_handler {
public:
    gate(const time_source& clock, std::atomic<ticket_id>& tickets, gate_hooks hooks,
         gate_options options = {});

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

    /// Like exchange(), but calls `permission` immediately before the first byte is sent to the target.
    awaitable<exchange_result> exchange_with_permission(const request_head& head, body_reader& body,
                                                        response_writer& writer,
                                                        const write_permission& permission);

private:
    awaitable<exchange_result> admit_and_run(const std::shared_ptr<guarded_target>& target,
                                             const request_head& head, body_reader& body,
                                             response_writer& writer, const write_permission& permission);
    awaitable<exchange_result> run(guarded_target& target, const gate_run& started, slot_loan& loan,
                                   body_reader& body, response_writer& writer,
                                   const write_permission& permission);
    exchange_result refuse(const request_head& head, const guarded_target* target, error_kind error,
                           std::string_view detail, std::chrono::milliseconds retry_after) const;

    const time_source& clock_;
    std::atomic<ticket_id>& tickets_;
    const gate_hooks hooks_;
    const gate_options options_;
};

}  // namespace teaselpitch
