#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "servers/claims/claim_ledger.h"
#include "servers/claims/lease_promises.h"
#include "servers/claims/slot_holder.h"
#include "servers/claims/slot_map.h"
#include "servers/claims/slot_options.h"

namespace teaselpitch {

inline const slot_id the_slot{"contratos", 0};

/// Removes and returns one element.
template <typename T>
T take(std::vector<T>& from, std::size_t index) {
    T value = std::move(from[index]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    return value;
}

/// The scheme under test; each flag that is off breaks one rule on purpose.
struct scheme {
    std::string name{"as built"};
    slot_settings settings{.lease = std::chrono::seconds{5},
                           .margin = std::chrono::seconds{2},
                           .retention = std::chrono::seconds{20},
                           .longest_run = std::chrono::seconds{3}};
    bool stretches_waits = true;
    bool waits_after_takeover = true;
    bool checks_freshness = true;
    bool looks_before_write = true;
    bool registers_appends = true;
    bool distinguishes_first_sends = true;
    bool wants_epoch_of_first_sends = true;
    bool announces_renewals = true;
    bool hands_over_claims = true;
    bool inherits_window = true;
    bool counts_longest_run = true;
};

/// One step of the environment. Numbers that name nothing at that moment make the step do nothing.
enum class act : std::uint8_t {
    pass_time,
    read_log,
    issue_read,
    deliver_read,
    toggle_log,
    take_over,
    renew,
    hand_over,
    deliver_hand_over,
    land_append,
    promise_round,
    ask_promise,
    deliver_request,
    deliver_reply,
    send,
    send_late,
    deliver_send,
    send_and_write,
    check,
    look,
    write,
    end_run,
    renounce,
    reset,
    crash,
    drop_message,
    count,
};

struct action {
    act kind = act::pass_time;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const action& value);

/// Five nodes with one slot, a log, targets and callers. The environment schedules every delivery, loss
/// and pause; the clock of each node runs at its own rate within 1%.
class slot_model {
public:
    slot_model(scheme variant, std::uint32_t clock_rates);

    void run(const action& next);

    /// The first broken property in words; empty while all hold.
    [[nodiscard]] const std::string& violation() const { return violation_; }

    [[nodiscard]] std::size_t executions() const { return executions_.size(); }
    [[nodiscard]] std::size_t replays() const { return replays_; }
    [[nodiscard]] std::size_t epochs() const { return log_.size(); }
    [[nodiscard]] slot_state state_of(std::uint32_t node) const { return nodes_[node].holder->state(); }

private:
    struct node {
        node_identity self;
        double rate = 1;
        bool reaches_log = true;
        std::size_t position = 0;
        std::unique_ptr<manual_time_source> clock;
        std::unique_ptr<claim_ledger> ledger;
        std::unique_ptr<slot_holder> holder;
        std::unique_ptr<lease_promises> promises;
        std::unique_ptr<promise_requests> requests;
        slot_map map;
    };

    struct pending_read {
        node_identity reader;
        steady_time issued_at;
        std::size_t end = 0;
    };

    struct log_record {
        slot_assignment assignment;
        node_identity appender;
        bool reset = false;
    };

    struct sent_request {
        std::uint32_t key = 0;
        std::uint64_t fingerprint = 0;
        send_mark mark;
        std::optional<execution_state> told;
        bool executed = false;
    };

    struct execution {
        std::uint32_t key = 0;
        std::uint64_t fingerprint = 0;
        std::chrono::nanoseconds start{};
        std::optional<std::chrono::nanoseconds> end;
    };

    enum class run_phase : std::uint8_t { claimed, looked, executing };

    struct target_run {
        std::size_t send = 0;
        node_identity where;
        slot_decision decision;
        run_phase phase = run_phase::claimed;
        std::chrono::nanoseconds looked_at{};
        std::size_t execution = 0;
    };

    void start(node& place, std::uint64_t incarnation);
    node& at(std::uint32_t index) { return nodes_[index % nodes_.size()]; }
    node* find(const node_identity& self);

    void pass_time(std::uint32_t choice);
    void read_log(node& reader, steady_time issued_at, std::size_t end);
    void issue_read(node& reader);
    void deliver_read(std::uint32_t index);
    void append(node& appender, bool planned, std::uint32_t choice);
    void take_over(node& candidate, std::uint32_t choice);
    void renew(node& holder, std::uint32_t choice);
    void hand_over(node& holder, std::uint32_t choice);
    void deliver_hand_over(std::uint32_t index, std::uint32_t choice);
    void land_append(std::uint32_t index, std::uint32_t choice);
    void promise_round(node& holder);
    void on_reply(node& holder, const wire::PromiseReply& reply);
    void ask_promise(node& holder);
    void deliver_request(std::uint32_t index);
    void deliver_reply(std::uint32_t index);
    std::size_t make_send(std::uint32_t what);
    bool arrive(std::size_t id, node& place);
    void deliver_send(std::uint32_t index, node& place);
    void send_and_write(std::uint32_t what, node& place, std::uint32_t choice);
    void check(std::uint32_t index);
    void look(std::uint32_t index);
    void write(std::uint32_t index);
    void end_run(std::uint32_t index, std::uint32_t outcome);
    void reset(node& holder, std::uint32_t choice);
    void crash(node& place);
    void drop_message(std::uint32_t which, std::uint32_t index);

    void execute(target_run& run);
    void abandon(std::size_t index);
    void finish(std::size_t index, std::uint32_t outcome);
    void tell(std::size_t send, execution_state state);
    void tell_joiners(const claim_end& end);
    void check_replay(std::size_t send, const claim_decision& decision);
    void fail(const std::string& what);

    scheme scheme_;
    slot_options options_;
    std::chrono::nanoseconds real_{};
    std::vector<node> nodes_;
    std::vector<log_record> log_;
    std::vector<log_record> appends_;
    std::vector<pending_read> reads_;
    struct sent_claims {
        node_identity to;
        wire::SlotClaims claims;
    };
    std::vector<sent_claims> hand_overs_;
    std::vector<wire::PromiseRequest> promise_requests_;
    std::vector<std::pair<node_identity, wire::PromiseReply>> promise_replies_;
    std::vector<sent_request> sends_;
    std::uint64_t callers_epoch_ = 0;      ///< The newest slot epoch that a caller was told.
    std::vector<std::size_t> late_sends_;  ///< On their way between caller and holder.
    std::vector<target_run> runs_;
    std::vector<execution> executions_;
    std::size_t replays_ = 0;
    std::string violation_;
};

}  // namespace teaselpitch
