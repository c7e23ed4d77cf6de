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

inline const slot_id test_slot{"contratos", 0};

/// Removes the element at the index and returns it.
template <typename T>
T remove_at(std::vector<T>& from, std::size_t index) {
    T value = std::move(from[index]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    return value;
}

/// The slot protocol under test. Each flag that is off deliberately omits one rule.
struct protocol_variant {
    std::string name{"as built"};
    slot_settings settings{.lease = std::chrono::seconds{5},
                           .margin = std::chrono::seconds{2},
                           .retention = std::chrono::seconds{20},
                           .max_run_time = std::chrono::seconds{3}};
    bool extends_waits = true;
    bool waits_after_takeover = true;
    bool checks_freshness = true;
    bool checks_before_write = true;
    bool tracks_unresolved_appends = true;
    bool distinguishes_first_sends = true;
    bool requires_epoch_of_first_sends = true;
    bool reports_renewals = true;
    bool transfers_claims = true;
    bool transfers_first_sends_window = true;
    bool includes_max_run_time = true;
};

/// One kind of event that the environment schedules. An event that refers to nothing at its time has no
/// effect.
enum class event_kind : std::uint8_t {
    pass_time,
    read_log,
    issue_read,
    deliver_read,
    toggle_log,
    take_over,
    renew_assignment,
    hand_over,
    deliver_hand_over,
    commit_append,
    exchange_promises,
    send_promise_requests,
    deliver_request,
    deliver_reply,
    send,
    send_delayed,
    deliver_send,
    send_and_write,
    check_permit,
    final_check,
    write,
    end_run,
    renounce,
    reset,
    crash,
    drop_message,
    count,
};

struct event {
    event_kind kind = event_kind::pass_time;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const event& value);

/// Model of five nodes with one slot, a log, targets and callers. The environment schedules every delivery,
/// loss and pause. The clock of each node runs at its own rate within 1% of real time.
class slot_model {
public:
    slot_model(protocol_variant variant, std::uint32_t clock_rates);

    void run(const event& next);

    /// Description of the first violated property; empty while all properties hold.
    [[nodiscard]] const std::string& violation() const { return violation_; }

    [[nodiscard]] std::size_t executions() const { return executions_.size(); }
    [[nodiscard]] std::size_t replays() const { return replays_; }
    [[nodiscard]] std::size_t epochs() const { return log_.size(); }
    [[nodiscard]] slot_state state_of(std::uint32_t node_index) const {
        return nodes_[node_index].holder->state();
    }

private:
    struct model_node {
        node_identity self;
        double rate = 1;
        bool reaches_log = true;
        std::size_t position = 0;
        std::unique_ptr<manual_time_source> clock;
        std::unique_ptr<claim_ledger> ledger;
        std::unique_ptr<slot_holder> holder;
        std::unique_ptr<lease_promises> promises;
        std::unique_ptr<promise_collector> requests;
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
        std::optional<execution_state> reported_state;
        bool executed = false;
    };

    struct execution {
        std::uint32_t key = 0;
        std::uint64_t fingerprint = 0;
        std::chrono::nanoseconds start{};
        std::optional<std::chrono::nanoseconds> end;
    };

    enum class run_phase : std::uint8_t { claimed, checked, executing };

    struct target_run {
        std::size_t send = 0;
        node_identity host_node;
        slot_decision decision;
        run_phase phase = run_phase::claimed;
        std::chrono::nanoseconds checked_at{};
        std::size_t execution = 0;
    };

    void start_node(model_node& host, std::uint64_t incarnation);
    model_node& node_at(std::uint32_t index) { return nodes_[index % nodes_.size()]; }
    model_node* find(const node_identity& self);

    void pass_time(std::uint32_t choice);
    void read_log(model_node& reader, steady_time issued_at, std::size_t end);
    void issue_read(model_node& reader);
    void deliver_read(std::uint32_t index);
    void append(model_node& appender, bool planned, std::uint32_t choice);
    void take_over(model_node& candidate, std::uint32_t choice);
    void renew_assignment(model_node& holder, std::uint32_t choice);
    void hand_over(model_node& holder, std::uint32_t choice);
    void deliver_hand_over(std::uint32_t index, std::uint32_t choice);
    void commit_append(std::uint32_t index, std::uint32_t choice);
    void exchange_promises(model_node& holder);
    void on_reply(model_node& holder, const wire::PromiseReply& reply);
    void send_promise_requests(model_node& holder);
    void deliver_request(std::uint32_t index);
    void deliver_reply(std::uint32_t index);
    std::size_t make_send(std::uint32_t send_choice);
    bool deliver_to_holder(std::size_t id, model_node& host);
    void deliver_send(std::uint32_t index, model_node& host);
    void send_and_write(std::uint32_t send_choice, model_node& host, std::uint32_t choice);
    void check_permit(std::uint32_t index);
    void final_check(std::uint32_t index);
    void write(std::uint32_t index);
    void end_run(std::uint32_t index, std::uint32_t outcome);
    void reset(model_node& holder, std::uint32_t choice);
    void crash(model_node& host);
    void drop_message(std::uint32_t which, std::uint32_t index);

    void start_execution(target_run& run);
    void abandon_run(std::size_t index);
    void finish_run(std::size_t index, std::uint32_t outcome);
    void report_to_caller(std::size_t send, execution_state state);
    void report_to_joiners(const claim_completion& end);
    void check_replay(std::size_t send, const claim_decision& decision);
    void record_violation(const std::string& description);

    protocol_variant variant_;
    slot_options options_;
    std::chrono::nanoseconds elapsed_{};
    std::vector<model_node> nodes_;
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
    std::uint64_t latest_caller_epoch_ = 0;   ///< Newest slot epoch that a caller received.
    std::vector<std::size_t> delayed_sends_;  ///< In transit between caller and holder.
    std::vector<target_run> runs_;
    std::vector<execution> executions_;
    std::size_t replays_ = 0;
    std::string violation_;
};

}  // namespace teaselpitch
