#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/gossip.pb.h"
#include "servers/membership/state_digest.h"

namespace teaselpitch {

enum class announced_state : std::uint8_t { starting, ready, leaving, gone };

/// Entry of the registry. The string views are valid until the next command.
struct target_view {
    std::string_view name;
    std::uint64_t incarnation = 0;
    std::string_view service;
    std::string_view node;
    std::uint64_t node_incarnation = 0;
    announced_state state = announced_state::gone;  ///< Also gone while its node is not running.
    std::uint32_t slots = 0;
    std::chrono::milliseconds ready_age{0};  ///< Time since the target became ready.
    bool departed = false;                   ///< This incarnation never becomes ready again.
};

/// Announcement of a target to its local node.
struct target_announcement {
    target_identity identity;
    std::string service;
    std::uint32_t slots = 0;
    announced_state state =
        announced_state::starting;  ///< Never gone: a stopping target announces leaving, then stops renewing.
    bool departed = false;          ///< The target itself leaves, not only its node.
};

struct target_registry_options {
    /// Interval at which a target renews its announcement.
    std::chrono::milliseconds renewal_interval{1000};
    unsigned max_missed_renewals = 3;  ///< Number of missed renewals after which a target is gone.
    /// Time for which a gone target is kept, so that outdated gossip does not restore it.
    std::chrono::milliseconds gone_retention{600'000};
};

struct target_registry_hooks {
    std::function<void(const target_view&)> on_change;         ///< A target appeared, changed or disappeared.
    std::function<void(const wire::VerdictFact&)> on_verdict;  ///< A new verdict was received.
    std::function<void(const wire::QuarantineFact&)> on_quarantine;  ///< A quarantine is new or was extended.
    std::function<void(const wire::SuccessFact&)> on_success;  ///< Another node has counted more successes.
    /// A node announces a target that has departed, because it does not know of the departure. The fact is to
    /// be sent to that node.
    std::function<void(const std::string& node, const wire::Fact& departure)> on_departed_announced;
    std::function<void(const wire::CrashFact&)> on_crash;  ///< A target of another node crashed.
};

/// Announced targets of all nodes. Facts about one target are ordered by incarnation, then departure, then
/// sequence: a node that has restarted may announce a target that its predecessor knew as departed.
class target_registry {
public:
    target_registry(const time_source& clock, node_identity self, target_registry_options options,
                    target_registry_hooks hooks);

    // Commands.

    /// Applies an announcement or renewal of a local target. Returns the fact to gossip when something
    /// changed. INVALID_ARGUMENT: a field is missing or the state is gone. FAILED_PRECONDITION: a newer
    /// incarnation is registered, or this one has departed and is announced as starting or ready.
    absl::StatusOr<std::optional<wire::Fact>> announce(const target_announcement& announcement);
    /// Removes expired entries; returns the facts to gossip about local targets that missed their renewals.
    std::vector<wire::Fact> on_tick();
    /// Applies a fact from another node; returns true when the fact is new.
    bool apply(const wire::Fact& fact);
    /// Sets whether a node runs with this incarnation. Its targets are gone while it does not run.
    void on_node_state(const node_identity& node, bool running);

    // Queries.
    /// Returns the target, gone or not; empty when there is no record of it.
    [[nodiscard]] std::optional<target_view> find(std::string_view name) const;
    /// Calls the function for each target of a service that is not gone.
    void for_each(std::string_view service, const std::function<void(const target_view&)>& visit) const;
    /// Number of targets that are not gone.
    [[nodiscard]] std::size_t size() const { return visible_count_; }
    /// Hashes of the targets that are not gone.
    [[nodiscard]] const state_digest& digest() const { return digest_; }
    /// Returns the facts of the targets in these leaves; `wanted` has one flag for each leaf.
    [[nodiscard]] std::vector<wire::Fact> facts_in_leaves(const std::vector<bool>& wanted) const;
    /// Returns the facts of the departed targets of a node.
    [[nodiscard]] std::vector<wire::Fact> departures_of(std::string_view node) const;

private:
    struct record {
        std::string name;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t node_incarnation = 0;
        steady_time ready_since;
        std::uint32_t service = 0;
        std::uint32_t node = 0;
        std::uint32_t slots = 0;
        std::uint16_t leaf = 0;
        announced_state state = announced_state::gone;
        bool departed = false;
        bool used = false;
    };
    struct node_entry {
        node_identity identity;
        bool running = false;
        steady_time changed_at;
        std::vector<std::uint32_t> targets;
    };
    struct service_entry {
        std::string name;
        std::vector<std::uint32_t> targets;
    };
    struct tombstone {
        std::uint32_t index = 0;
        std::uint64_t sequence = 0;
        steady_time changed_at;
    };

    bool apply_target(const wire::TargetFact& fact);
    bool apply_verdict(const wire::VerdictFact& fact);
    bool apply_quarantine(const wire::QuarantineFact& fact);
    bool apply_crash(const wire::CrashFact& fact);
    bool apply_success(const wire::SuccessFact& fact);
    std::uint32_t find_or_add_record(std::string_view name);
    std::uint32_t find_or_add_node(std::string_view name);
    std::uint32_t find_or_add_service(std::string_view name);
    void update_record(record& entry, const wire::TargetFact& fact);
    void report_departure(const record& known, const wire::TargetFact& outdated) const;
    void add_to_indexes(std::uint32_t index);
    void remove_from_indexes(std::uint32_t index);
    void erase_record(std::uint32_t index);
    void add_if_visible(std::uint32_t index);
    void remove_if_visible(std::uint32_t index);
    void remove_expired();
    void notify_change(std::uint32_t index) const;
    [[nodiscard]] bool is_visible(const record& entry) const;
    [[nodiscard]] target_view view_of(const record& entry) const;
    [[nodiscard]] wire::Fact fact_of(const record& entry) const;

    const time_source& clock_;
    node_identity self_;
    target_registry_options options_;
    target_registry_hooks hooks_;
    // A deque, because record_indexes_ refers to the names of the records and so needs stable addresses.
    std::deque<record> records_;
    std::vector<std::uint32_t> free_records_;
    absl::flat_hash_map<std::string_view, std::uint32_t> record_indexes_;
    std::vector<node_entry> nodes_;
    absl::flat_hash_map<std::string, std::uint32_t> node_indexes_;
    std::vector<service_entry> services_;
    absl::flat_hash_map<std::string, std::uint32_t> service_indexes_;
    std::deque<tombstone> tombstones_;
    state_digest digest_;
    std::size_t visible_count_ = 0;
    // Time of the last renewal of each local target.
    std::map<std::string, steady_time> last_renewals_;
    // Highest sequence for each target and origin node, with the time of receipt.
    std::map<std::string, std::pair<std::uint64_t, steady_time>> verdicts_;
    // End of each quarantine by fingerprint.
    std::map<std::uint64_t, steady_time> quarantines_;
    // Time of receipt of each crash fact, by its origin and sequence.
    std::map<std::string, steady_time> crashes_;
    // Highest sequence for each fingerprint and origin, with the time of receipt.
    std::map<std::string, std::pair<std::uint64_t, steady_time>> successes_;
    steady_time next_sweep_;
};

}  // namespace teaselpitch
