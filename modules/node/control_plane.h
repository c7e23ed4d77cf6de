#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "drivers/log/log_client.h"
#include "drivers/log/log_follower.h"
#include "drivers/peer/peer_pool.h"
#include "modules/node/claim_manager.h"
#include "modules/node/configuration_feed.h"
#include "modules/node/fleet_membership.h"
#include "modules/node/health_exchange.h"
#include "modules/node/node_context.h"
#include "modules/node/node_platform.h"
#include "modules/node/node_registration.h"
#include "modules/node/slot_loan_report.h"
#include "servers/health/crash_exchange.h"
#include "servers/membership/table_catch_up.h"
#include "servers/table/table_replica.h"

namespace teaselpitch {

/// Follows the log and the other nodes and keeps the shared state up to date. Everything runs on the control
/// thread; other threads run handle_call() there through its executor.
class control_plane {
public:
    /// Callbacks to the shards.
    struct hooks {
        std::function<void(const caller_limits&)> limits_changed;
    };

    control_plane(boost::asio::io_context& io_context, node_context& context, const node_platform& platform,
                  hooks shard_callbacks);
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    // Commands.
    absl::Status start();
    /// Hands over the slots of idempotency keys and announces to the other nodes that this node and its
    /// targets are leaving.
    awaitable<void> announce_drain();
    /// Applies an announcement or departure message of a local target. INVALID_ARGUMENT when the target is
    /// not the configured one.
    absl::Status on_target_call(const target_call& call);
    /// Announces to the other nodes that this node has left.
    void leave() { fleet_.leave(); }
    void on_local_target(const managed_target_fact& fact);
    /// Gossips a crash of a local target, and the quarantine if this crash decided one.
    void on_local_crash(const std::string& service, const crash_report& crash);
    /// Records whether a peer could be reached directly.
    void on_direct_result(const std::string& node, bool reached) { fleet_.on_direct_result(node, reached); }
    /// Handles a control call of another node. UNIMPLEMENTED for an unknown method, INVALID_ARGUMENT for a
    /// malformed payload.
    awaitable<absl::StatusOr<std::string>> handle_call(std::string method, std::string payload);
    claim_manager& claims() { return claims_; }

    // Queries.
    [[nodiscard]] const fleet_membership& fleet() const { return fleet_; }
    [[nodiscard]] const claim_manager& claims() const { return claims_; }
    [[nodiscard]] const table_replica& replica() const { return replica_; }
    [[nodiscard]] std::uint64_t table_version() const;
    [[nodiscard]] bool store_available() const;
    /// Returns true when this node can accept callers: it has a configuration and at least one known target,
    /// and is not draining.
    [[nodiscard]] bool ready() const;

private:
    static constexpr std::string_view table_method = "table";
    static constexpr std::chrono::milliseconds call_timeout{1'000};
    static constexpr std::chrono::milliseconds hand_over_timeout{5'000};

    struct pending_calls;

    void spawn(awaitable<void> task, std::string_view name);
    awaitable<void> run_periodically(std::chrono::milliseconds period, std::function<void()> work);
    void start_timers();
    void on_detection_tick();
    void on_second_tick();

    // The table and the slots.
    void on_table();
    void on_record(const wire::StoredRecord& record, const apply_result& result);
    void record_edit(const wire::StoredRecord& record, const edit_result& edit);
    awaitable<void> append_to_log(std::string record);
    awaitable<void> fetch_table();
    awaitable<void> fetch_table_from(endpoint peer);
    absl::StatusOr<std::string> answer_table(std::string_view payload) const;
    /// Appends a snapshot when the log has grown, so that the log's retention may delete the records before
    /// it.
    void publish_snapshot();
    void on_configuration(const configuration& next);
    void install_table(std::shared_ptr<const table> rows, std::shared_ptr<const account_directory> accounts,
                       std::uint64_t version);
    /// Fetches the configuration from another node when that is due.
    void fetch_later_configuration();
    awaitable<void> fetch_configuration_from(endpoint peer);
    /// Asks some registered nodes for a later configuration than this version. Ends when they have answered,
    /// or after a second.
    awaitable<void> ask_peers(std::uint64_t version);
    awaitable<void> ask_peer(endpoint peer, std::uint64_t version, std::shared_ptr<pending_calls> pending);
    /// Sets, for each guarded target, the number of targets that share the retry budget of its service.
    void update_retry_budgets();
    void on_log_tick();
    /// Renews the trust in account keys unless another node has a later configuration.
    void on_peer_contact();
    void create_configuration_feed(const node_platform& platform);

    // The other nodes.
    void on_nodes_changed();
    void publish_directory(node_directory directory);
    void update_services();
    void update_places(const std::string& service);
    void gossip_quarantine(const std::string& service, std::uint64_t fingerprint);
    void gossip_all(const std::vector<wire::Fact>& facts);
    void on_crash_fact(const wire::CrashFact& fact);
    void apply_departures();
    void publish_verdicts();
    void apply_verdict(const wire::VerdictFact& fact);
    awaitable<void> send_digest(outgoing_digest message);
    awaitable<void> send_limit_report(outgoing_limit_report message);
    awaitable<void> send_quota_request(outgoing_quota_request message);
    awaitable<void> send_verdict(endpoint peer, std::string payload);
    awaitable<void> send_promise_request(wire::PromiseRequest request);
    awaitable<void> send_hand_over(node_identity successor, wire::HandOver message);
    [[nodiscard]] std::optional<endpoint> peer_of(const std::string& node) const;
    claim_manager_hooks make_claim_hooks();

    boost::asio::io_context& control_io_;
    node_context& context_;
    table_replica replica_;
    log_client log_;
    log_follower follower_;
    peer_pool peers_;
    slot_loan_report loan_report_;
    fleet_membership fleet_;
    health_exchange health_;
    crash_exchange crashes_;
    claim_manager claims_;
    std::set<std::string> changed_services_;  ///< Services whose targets changed since the last tick.
    /// Departures of local targets that the fleet knows, since the last tick.
    std::vector<target_identity> departed_targets_;
    bool nodes_changed_ = true;
    std::map<std::string, double> published_scores_;  ///< Outlier scores that were published last, by target.
    std::uint64_t verdict_sequence_ = 0;
    const hooks hooks_;
    // Null unless the platform's store is configured.
    std::unique_ptr<keyed_store> store_;
    std::unique_ptr<configuration_feed> feed_;
    std::unique_ptr<node_registration> registration_;
    /// Peer endpoints of the registered nodes; empty until the store has answered.
    std::optional<std::vector<endpoint>> registered_peers_;
    table_catch_up catch_up_;
    std::uint64_t last_snapshot_offset_ = 0;  ///< End of the log after the latest own snapshot record.
};

}  // namespace teaselpitch
