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

/// What a caller of a keyed request met in one step.
enum class step_result : std::uint8_t {
    answered,
    no_answer,
    peer_unreachable,
    slot_moving,
    key_in_doubt,
    count
};

/// Five nodes with one slot, driven as a node would drive them: the log is read every 200 ms, promises and
/// the takeover policy run every second, and the membership needs 4 s to declare a silent node dead.
class outage_fleet {
public:
    outage_fleet();

    void advance(std::chrono::milliseconds step);

    void kill(std::size_t node) { nodes_[node].alive = false; }
    void set_paused(std::size_t node, bool paused) { nodes_[node].paused = paused; }
    void resume_all();
    void set_log(std::size_t node, bool reachable) { nodes_[node].reaches_log = reachable; }
    void set_log_everywhere(bool reachable);
    void renounce(std::size_t node) { nodes_[node].promises->renounce(); }
    void drain(std::size_t node) { nodes_[node].policy->set_draining(); }

    /// The node of this part at present: 0 is the holder, 1 and 2 are its candidates.
    [[nodiscard]] std::size_t node_of_part(std::size_t part) const;

    /// A key that nobody used before, as the first send of its caller when marked.
    step_result send_new_key(bool marked);

    /// A re-send of a key that was run before any failure.
    step_result send_old_key();

private:
    struct node {
        node_identity self;
        bool alive = true;
        bool paused = false;
        bool reaches_log = true;
        std::size_t position = 0;
        steady_time silent_since{};
        std::unique_ptr<claim_ledger> ledger;
        std::unique_ptr<slot_holder> holder;
        std::unique_ptr<lease_promises> promises;
        std::unique_ptr<promise_collector> requests;
        std::unique_ptr<takeover_policy> policy;
        slot_map map;

        [[nodiscard]] bool acts() const { return alive && !paused; }
    };

    struct log_record {
        slot_assignment assignment;
        node_identity appender;
    };

    [[nodiscard]] std::vector<node_identity> alive_nodes() const;
    node* find(const node_identity& self);
    node& asked_node();
    void read_log(node& reader);
    void renew_promises(node& holder);
    void propose(node& proposer);
    void carry_out(node& proposer, const slot_change& change);
    void hand_over(node& holder, const slot_change& change);
    step_result send(const std::string& key, bool marked);
    void finish(node& holder, const std::string& key, const slot_decision& decision);

    manual_time_source clock_;
    std::int64_t steps_ = 0;
    std::vector<node> nodes_;
    std::vector<log_record> log_;
    std::uint64_t last_key_ = 0;
    std::uint64_t known_epoch_ = 0;
};

}  // namespace teaselpitch::bench
