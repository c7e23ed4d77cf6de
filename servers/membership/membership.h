#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/gossip.pb.h"
#include "servers/membership/gossip_queue.h"
#include "servers/membership/member_table.h"
#include "servers/membership/version_reports.h"
#include "servers/membership/zone_bridges.h"

namespace teaselpitch {

struct membership_options {
    std::chrono::milliseconds probe_interval{1000};
    std::chrono::milliseconds ack_timeout{300};       ///< From a direct probe until the indirect probes.
    std::chrono::milliseconds indirect_timeout{400};  ///< From the indirect probes until suspicion.
    /// From the first unanswered probe until the node is declared dead.
    std::chrono::milliseconds suspicion{3000};
    std::size_t indirect_probes = 3;  ///< Number of relays for an indirect probe.
    gossip_multipliers gossip{};
    std::size_t version_transmissions = 6;  ///< Number of times that a node sends each version report.
    /// Number of nodes of the own zone that urgent facts are pushed to immediately, and again after
    /// push_interval.
    std::size_t push_fanout = 3;
    std::size_t bridges_per_zone = 2;
    /// Between probes of a random node of another zone by each node; bridges of other zones are probed each
    /// probe_interval by the bridges.
    std::chrono::milliseconds remote_probe_interval{10'000};
    /// Number of further nodes of another zone that are probed when one of them does not answer.
    std::size_t sweep_fanout = 8;
    std::chrono::milliseconds push_interval{100};
    /// Between anti-entropy exchanges within the zone. A bridge makes as many with other zones.
    std::chrono::milliseconds sync_interval{10'000};
    std::chrono::milliseconds seed_interval{30'000};  ///< Between pings to a seed while other members run.
    std::chrono::milliseconds dead_probe_interval{10'000};  ///< Between pings to a random dead node.
    /// Time for which a dead node is kept and probed. Longer than a region outage, so that its nodes are
    /// still probed when the region is reachable again.
    std::chrono::milliseconds dead_retention{std::chrono::hours{2}};
    /// Time after a failed direct attempt during which a peer counts as not directly reachable.
    std::chrono::milliseconds direct_failure_retention{10'000};
};

/// Identity and endpoints that a node announces for itself.
struct membership_local_node {
    node_identity identity;
    std::string availability_zone;
    endpoint gossip;
    endpoint peer;
    std::uint16_t admin_port = 0;
};

struct membership_hooks {
    /// Called when a member joined, changed its state, returned, or changed a detail such as draining. In the
    /// last case the previous and the new state are equal.
    std::function<void(const member_change&)> on_change;
    /// Called for a fact that is not about a node. Returns true when the fact is new and is to be gossiped.
    std::function<bool(const wire::Fact&)> on_fact;
};

struct outgoing_datagram {
    endpoint to;
    std::string payload;
};

/// Work that the caller performs after a command.
struct membership_output {
    std::vector<outgoing_datagram> datagrams;
    std::optional<endpoint> sync_peer;  ///< Peer endpoint to start an anti-entropy exchange with.
};

/// SWIM membership of one node. Each probe interval it probes one member of its zone in shuffled round-robin
/// order and the next member of its zone on the hash ring, so that a death is detected within a second for
/// any number of nodes.
///
/// Only the bridges of a zone probe and inform other zones regularly: facts about a zone leave it through its
/// bridges, so that the bytes between zones do not grow with the number of nodes. When a node of another zone
/// does not answer, further nodes of that zone are probed at once, so that the loss of a zone is noticed as
/// fast as that of one node.
class membership {
public:
    membership(const time_source& clock, std::mt19937_64 random, membership_local_node self,
               std::vector<endpoint> seeds, membership_options options, membership_hooks hooks);

    // Commands.

    /// Processes a received datagram; one that cannot be decoded is ignored.
    membership_output on_datagram(const endpoint& from, std::span<const std::byte> payload);
    /// Runs the timers. Called about every 50 to 100 ms.
    membership_output on_tick();
    /// Announces the intended departure of this node.
    membership_output leave();
    /// Adds seed endpoints; new ones are contacted at the next tick.
    void add_seeds(std::span<const endpoint> seeds);
    void set_draining(bool draining);
    /// Records the table version that this node serves. The first report of a version is pushed immediately,
    /// as nodes without access to the store learn of it only from other nodes.
    membership_output set_table_version(std::uint64_t version);
    /// Gossips a fact that is not about a node. Facts about a leaving or gone target, crashes, the successes
    /// after them and quarantines are pushed immediately.
    membership_output gossip(const wire::Fact& fact);
    /// Sends a fact to one node.
    membership_output inform(std::string_view node, const wire::Fact& fact);
    /// Records the result of a transport attempt to a peer. A failure probes the peer immediately.
    membership_output on_direct_result(std::string_view name, bool reached);
    /// Applies a node fact from an anti-entropy exchange.
    void apply_synced_fact(const wire::NodeFact& fact);

    // Queries.
    [[nodiscard]] const member* find(std::string_view name) const { return members_.find(name); }
    /// Alive and suspect nodes other than this one.
    [[nodiscard]] const std::vector<member*>& running() const { return members_.running(); }
    /// Dead and left nodes.
    [[nodiscard]] const std::vector<member*>& stopped() const { return members_.stopped(); }
    /// This node's own entry.
    [[nodiscard]] const member& self() const { return self_; }
    /// Returns whether the node runs and its most recent direct attempts did not fail.
    [[nodiscard]] bool is_directly_reachable(std::string_view name) const;
    /// Returns up to three nodes that may relay requests to a peer, the best first.
    [[nodiscard]] std::vector<std::string> relay_candidates(std::string_view name) const;
    /// Returns the running nodes, including this one, that have not reported this table version or a newer
    /// one.
    [[nodiscard]] std::vector<std::string> nodes_below_version(std::uint64_t version) const;
    /// Latest table version that this or another node has reported.
    [[nodiscard]] std::uint64_t newest_reported_version() const { return versions_.version(); }

private:
    enum class probe_kind : std::uint8_t { member, ring, remote, dead };
    struct pending_probe {
        std::string name;
        probe_kind kind = probe_kind::member;
        steady_time sent;
        bool indirect = false;
    };
    struct relayed_probe {
        endpoint requester;
        std::uint64_t sequence = 0;
        std::string subject;
        steady_time sent;
    };

    /// Where a fact is passed on: within this zone only, or to the other zones as well.
    enum class fact_reach : std::uint8_t { zone, everywhere };

    void queue_fact(const wire::Fact& fact, fact_reach reach);
    void queue_gossip(const std::string& subject, const std::string& fact, fact_urgency urgency,
                      fact_reach reach);
    [[nodiscard]] fact_reach reach_of(const wire::Fact& fact) const;
    [[nodiscard]] bool is_remote(const endpoint& to) const;
    void update_bridges();
    void apply_fact(const wire::Fact& fact, fact_source source);
    void apply_node_fact(const wire::NodeFact& fact, fact_source source);
    void apply_version_report(const wire::VersionReport& report);
    void refute(const wire::NodeFact& fact);
    void on_member_change(const std::optional<member_change>& change);
    void queue_own_fact();
    void on_ping(const endpoint& from, const wire::Datagram& message);
    void on_ping_request(const endpoint& from, const wire::Datagram& message);
    void on_ack(const wire::Datagram& message);

    void start_probes();
    void probe_member(const member& target, probe_kind kind);
    const member* next_probe_target();
    void check_probes();
    void probe_ring_successor_of(std::string_view name);
    void probe_remote_bridges();
    void probe_random_remote_member();
    void probe_dead_member();
    void sweep_zone_of(const member& silent);
    [[nodiscard]] bool is_probing(std::string_view name) const;
    void request_indirect_probes(const member& target, std::uint64_t sequence);
    void declare_expired_suspects();
    void contact_seeds();
    void choose_sync_peer();
    void push();
    void push_if_due();
    void push_to_other_zones();
    void push_version_to_other_zones();
    /// Draws different members that are not `except`.
    std::vector<const member*> pick_random(std::span<const member* const> from, std::size_t count,
                                           std::string_view except);
    [[nodiscard]] std::vector<const member*> pick_relays(const member& target);
    void queue_correction(const wire::NodeFact& fact);
    void add_suspects(wire::Datagram& message) const;
    [[nodiscard]] bool failed_recently(const member& value) const;
    [[nodiscard]] wire::Datagram make_datagram(wire::Datagram::Kind kind, std::uint64_t sequence) const;
    void send(const endpoint& to, const wire::Datagram& message);
    membership_output take_output();
    void report_version(std::uint64_t version, std::uint64_t node);

    const time_source& clock_;
    std::mt19937_64 random_;
    member self_;
    std::vector<endpoint> seeds_;
    std::vector<endpoint> new_seeds_;  ///< Not contacted yet.
    membership_options options_;
    membership_hooks hooks_;
    member_table members_;
    zone_bridges bridges_;
    bool bridges_outdated_ = true;
    gossip_queue queue_;
    gossip_queue remote_queue_;  ///< Facts to send to the other zones.
    version_reports versions_;
    membership_output output_;
    // Keyed by the sequence of the ping.
    std::unordered_map<std::uint64_t, pending_probe> pending_probes_;
    std::unordered_map<std::uint64_t, relayed_probe> relayed_probes_;
    std::vector<std::string> probe_order_;
    std::size_t remote_bridge_turn_ = 0;
    std::unordered_map<std::string, steady_time> sweeps_;  ///< Start of the last sweep of each other zone.
    // Members about which the current datagram has outdated facts. The answer corrects them.
    std::vector<std::string> corrections_;
    std::uint64_t sequence_ = 0;
    steady_time next_probe_;
    steady_time next_ring_probe_;
    steady_time next_bridge_probe_;
    steady_time next_remote_probe_;
    steady_time next_dead_probe_;
    steady_time next_seed_;
    steady_time next_sync_;
    steady_time next_remote_sync_;
    steady_time next_push_;
    steady_time next_remote_push_;
    unsigned remaining_pushes_ = 0;
    unsigned remaining_version_pushes_ = 0;  ///< Pushes of the newest table version to the other zones.
    bool has_had_contact_ = false;
    bool left_ = false;
};

}  // namespace teaselpitch
