#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/claims/claim_ledger.h"
#include "servers/claims/lease_promises.h"
#include "servers/claims/slot_holder.h"
#include "servers/claims/slot_map.h"
#include "servers/claims/takeover_policy.h"

namespace teaselpitch::bench {

/// Result of one keyed request, as its caller sees it.
enum class step_result : std::uint8_t {
    answered,
    no_answer,
    peer_unreachable,
    slot_moving,
    key_in_doubt,
    count
};

/// Simulates five nodes and one slot with the intervals of the node program: each node reads the log every
/// 200 ms, renews promises and runs the takeover policy every second, and the membership declares a node dead
/// 4 s after it stops responding.
class outage_fleet {
public:
    outage_fleet();

    void advance(std::chrono::milliseconds step);

    void kill(std::size_t node) { nodes_[node].alive = false; }
    void set_paused(std::size_t node, bool paused) { nodes_[node].paused = paused; }
    void resume_all();
    void set_log_reachable_for(std::size_t node, bool reachable) { nodes_[node].log_reachable = reachable; }
    void set_log_reachable_for_all(bool reachable);
    void renounce(std::size_t node) { nodes_[node].promises->renounce(); }
    void drain(std::size_t node) { nodes_[node].policy->set_draining(); }

    /// Returns the index of the node that currently has this role for the slot: 0 is the holder, 1 and 2 are
    /// its candidates.
    [[nodiscard]] std::size_t node_with_role(std::size_t role) const;

    /// Sends a request with an unused key; `marked` declares it as the first send of this key.
    step_result send_new_key(bool marked);

    /// Sends a request again whose key was run before any failure.
    step_result resend_used_key();

private:
    struct node {
        node_identity self;
        bool alive = true;
        bool paused = false;
        bool log_reachable = true;
        std::size_t log_position = 0;
        steady_time last_active_at{};
        std::unique_ptr<claim_ledger> ledger;
        std::unique_ptr<slot_holder> holder;
        std::unique_ptr<lease_promises> promises;
        std::unique_ptr<promise_collector> promise_requests;
        std::unique_ptr<takeover_policy> policy;
        slot_map map;

        [[nodiscard]] bool is_active() const { return alive && !paused; }
    };

    struct log_record {
        slot_assignment assignment;
        node_identity appender;
    };

    [[nodiscard]] std::vector<node_identity> alive_nodes() const;
    node* find(const node_identity& self);
    node& node_for_request();
    void read_log(node& reader);
    void renew_promises(node& holder);
    void propose(node& proposer);
    void apply_change(node& proposer, const slot_change& change);
    void hand_over(node& holder, const slot_change& change);
    step_result send(const std::string& key, bool marked);
    void finish(node& holder, const std::string& key, const slot_decision& decision);

    manual_time_source clock_;
    std::int64_t steps_ = 0;
    std::vector<node> nodes_;
    std::vector<log_record> log_;
    std::uint64_t last_key_number_ = 0;
    std::uint64_t known_epoch_ = 0;
};

}  // namespace teaselpitch::bench
