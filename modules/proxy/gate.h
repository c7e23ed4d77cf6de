#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include "core/clock.h"
#include "modules/proxy/guarded_target.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Called right before the first byte of a request goes to a target; false ends the exchange as not run.
using write_permission = std::function<bool()>;

/// A run of a request at a target, for the target's judge.
struct gate_run {
    const request_head& head;
    const guarded_target& target;
    ticket_id ticket;
};

/// How a run ended.
struct gate_run_end {
    const gate_run& run;
    const exchange_result& result;
    unsigned http_status;                   ///< 0 without a head.
    std::chrono::nanoseconds head_latency;  ///< Until the head, or until the end without one.
};

/// What the gate asks of its surroundings. All run on the shard of the exchange and do not block.
struct gate_hooks {
    /// The target by name; null when this node does not guard it.
    std::function<std::shared_ptr<guarded_target>(std::string_view name)> find_target;
    /// True when equal requests crashed several targets.
    std::function<bool(const request_head&)> is_quarantined;
    /// True when the request should go to another target, because this one failed its latest work; null
    /// never.
    std::function<bool(const request_head&, const guarded_target&)> is_suspect = nullptr;
    /// True when the budget has room for the repeated request; null when repeats are not limited here.
    std::function<bool(const request_head&, const guarded_target&)> may_repeat = nullptr;
    /// Counts a request that is about to be sent; false when it is a repeat and the budget is used up. Null
    /// when repeats are not limited here.
    std::function<bool(const request_head&, const guarded_target&)> count_arrival = nullptr;
    std::function<awaitable<exchange_result>(const guarded_target&, const request_head&, body_reader&,
                                             response_writer&, const write_permission&)>
        send;
    std::function<void(const gate_run&)> run_started;
    std::function<void(const gate_run_end&)> run_ended;
    std::function<void(const request_head&, const exchange_result&)> refused;
};

/// Admits requests to the targets that this node guards. A refusal happens before any byte reaches the
/// target and leaves the body unread. One object for each shard; the guarded targets are shared.
class gate final : public exchange_handler {
public:
    gate(const time_source& clock, std::atomic<ticket_id>& tickets, gate_hooks hooks);

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

    /// The same with a check right before the first byte.
    awaitable<exchange_result> exchange_if(const request_head& head, body_reader& body,
                                           response_writer& writer, const write_permission& permission);

private:
    awaitable<exchange_result> admit_and_run(const std::shared_ptr<guarded_target>& target,
                                             const request_head& head, body_reader& body,
                                             response_writer& writer, const write_permission& permission);
    awaitable<exchange_result> run(const gate_run& started, body_reader& body, response_writer& writer,
                                   const write_permission& permission);
    exchange_result refuse(const request_head& head, const guarded_target* target, error_kind error,
                           std::string_view detail, std::chrono::milliseconds retry_after) const;

    const time_source& clock_;
    std::atomic<ticket_id>& tickets_;
    const gate_hooks hooks_;
};

}  // namespace teaselpitch
