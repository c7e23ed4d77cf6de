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

namespace teaselpitch {

struct membership_options {
    std::chrono::milliseconds probe_interval{1000};
    std::chrono::milliseconds ack_timeout{300};       ///< Until three other nodes are asked.
    std::chrono::milliseconds indirect_timeout{400};  ///< After that, until the node is suspected.
    /// From the first probe that got no answer until the death is declared.
    std::chrono::milliseconds suspicion{3000};
    std::size_t indirect_probes = 3;
    gossip_multipliers gossip{};
    std::size_t version_transmissions = 6;
    /// Nodes that get urgent facts at once, and again after push_interval.
    std::size_t push_fanout = 3;
    std::chrono::milliseconds push_interval{100};
    std::chrono::milliseconds sync_interval{10'000};
    std::chrono::milliseconds seed_interval{30'000};  ///< Between pings to a seed once others are known.
    std::chrono::milliseconds dead_probe_interval{10'000};  ///< Between pings to a random dead node.
    /// Longer than a region stays cut off, so that its nodes are still probed when it returns.
    std::chrono::milliseconds dead_memory{std::chrono::hours{2}};
    /// Time for which a failed direct attempt counts against a peer.
    std::chrono::milliseconds direct_memory{10'000};
};

/// What a node says about itself.
struct membership_self {
    node_identity identity;
    std::string availability_zone;
    endpoint gossip;
    endpoint peer;
    std::uint16_t admin_port = 0;
};

struct membership_hooks {
    /// A member joined, changed its state, came back, or changed a detail such as draining; then the state
    /// before and after are the same.
    std::function<void(const member_change&)> on_change;
    /// A fact about something other than a node. True means that it is news and is passed on.
    std::function<bool(const wire::Fact&)> on_fact;
};

struct outgoing_datagram {
    endpoint to;
    std::string payload;
};

/// What the driver does next.
struct membership_output {
    std::vector<outgoing_datagram> datagrams;
    std::optional<endpoint> sync_with;  ///< Peer endpoint for an anti-entropy exchange.
};

/// SWIM membership of one node. Each second it probes one member in a shuffled round-robin order, and the
/// next member on the hash ring, so that a death is noticed within a second at any number of nodes.
class membership {
public:
    membership(const time_source& clock, std::mt19937_64 random, membership_self self,
               std::vector<endpoint> seeds, membership_options options, membership_hooks hooks);

    // Commands.
    membership_output on_datagram(const endpoint& from, std::span<const std::byte> payload);
    /// Called about every 50 to 100 ms.
    membership_output on_tick();
    /// Tells everyone that this node stops on purpose.
    membership_output leave();
    /// Adds nodes that may know others; they are contacted at the next tick.
    void add_seeds(std::span<const endpoint> seeds);
    void set_draining(bool draining);
    void set_table_version(std::uint64_t version);
    /// Spreads a fact about something other than a node. A target that leaves or is gone and a quarantine are
    /// sent at once.
    membership_output gossip(const wire::Fact& fact);
    /// Result of a transport attempt to a peer; a failure probes the peer at once.
    membership_output on_direct_result(std::string_view name, bool reached);
    /// Applies a fact from an anti-entropy exchange.
    void apply_synced(const wire::NodeFact& fact);

    // Queries.
    [[nodiscard]] const member* find(std::string_view name) const { return members_.find(name); }
    /// Alive and suspect nodes other than this one.
    [[nodiscard]] const std::vector<member*>& running() const { return members_.running(); }
    [[nodiscard]] const std::vector<member*>& stopped() const { return members_.stopped(); }
    /// This node's own entry.
    [[nodiscard]] const member& self() const { return self_; }
    /// False while recent direct attempts at a running node failed.
    [[nodiscard]] bool reachable_directly(std::string_view name) const;
    /// Up to three nodes through which a peer may be reached, the best first.
    [[nodiscard]] std::vector<std::string> detour_candidates(std::string_view name) const;
    /// Running nodes, this one included, that have not reported at least this table version.
    [[nodiscard]] std::vector<std::string> nodes_below(std::uint64_t version) const;

private:
    enum class probe_kind : std::uint8_t { member, ring, dead };
    struct probe {
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

    void spread(const wire::Fact& fact);
    void take_fact(const wire::Fact& fact, fact_source source);
    void take_node(const wire::NodeFact& fact, fact_source source);
    void take_versions(const wire::VersionReport& report);
    void refute(const wire::NodeFact& fact);
    void changed(const std::optional<member_change>& change);
    void queue_self();
    void on_ping(const endpoint& from, const wire::Datagram& message);
    void on_ping_request(const endpoint& from, const wire::Datagram& message);
    void on_ack(const wire::Datagram& message);

    void start_probes();
    void probe_member(const member& target, probe_kind kind);
    const member* next_in_order();
    void check_probes();
    void probe_behind(std::string_view name);
    void ask_others(const member& target, std::uint64_t sequence);
    void check_suspects();
    void contact_seeds();
    void choose_sync();
    void push();
    void push_if_due();
    [[nodiscard]] std::vector<const member*> pick(std::size_t count, std::string_view except);
    [[nodiscard]] std::vector<const member*> pick_relays(const member& target);
    void note_stale(const wire::NodeFact& fact);
    void add_suspects(wire::Datagram& message) const;
    [[nodiscard]] bool recently_missed(const member& value) const;
    [[nodiscard]] wire::Datagram message(wire::Datagram::Kind kind, std::uint64_t sequence) const;
    void send(const endpoint& to, const wire::Datagram& message);
    membership_output take_output();
    void report_version(std::uint64_t version, std::uint64_t node);

    const time_source& clock_;
    std::mt19937_64 random_;
    member self_;
    std::vector<endpoint> seeds_;
    std::vector<endpoint> fresh_seeds_;  ///< Not contacted yet.
    membership_options options_;
    membership_hooks hooks_;
    member_table members_;
    gossip_queue queue_;
    version_reports versions_;
    membership_output output_;
    // Keyed by the sequence of the ping.
    std::unordered_map<std::uint64_t, probe> probes_;
    std::unordered_map<std::uint64_t, relayed_probe> relayed_;
    std::vector<std::string> order_;
    // Members about which the datagram at hand has old news; the answer corrects it.
    std::vector<std::string> corrections_;
    std::uint64_t sequence_ = 0;
    steady_time next_probe_;
    steady_time next_ring_probe_;
    steady_time next_dead_probe_;
    steady_time next_seed_;
    steady_time next_sync_;
    steady_time next_push_;
    unsigned pushes_ = 0;
    bool first_contact_ = false;
    bool left_ = false;
};

}  // namespace teaselpitch
