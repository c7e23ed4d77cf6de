// Implements the functions of control_plane for the log, the table and the slots.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <random>
#include <set>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/numbers.h"
#include "core/event_log.h"
#include "modules/node/control_plane.h"
#include "servers/table/snapshot_codec.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds table_timeout{2'000};
// Short enough that after a call to an unreachable member another member can be tried within the 2 s in which
// a new version must take effect.
constexpr std::chrono::milliseconds configuration_timeout{700};
// A node that starts serves the store's version after this time also when no other node answers, because the
// store may be right and callers wait.
constexpr std::chrono::milliseconds first_configuration_wait{1'000};
constexpr std::chrono::milliseconds registration_poll_interval{20};
constexpr std::size_t first_configuration_peers = 3;

configuration_feed_options feed_options_of(const node_settings& settings, std::uint64_t seed) {
    configuration_feed_options options;
    options.seed = seed;
    if (settings.accounts_fail_closed) {
        // Only the end of a read shows that the store is reached, so reads end well before keys lose trust.
        options.max_read_wait = std::min(options.max_read_wait, settings.accounts_revoke_after / 2);
        options.min_read_wait = std::min(options.min_read_wait, options.max_read_wait);
    }
    return options;
}

}  // namespace

void control_plane::on_table() {
    install_table(replica_.current(), std::make_shared<const account_directory>(), replica_.version());
}

void control_plane::install_table(std::shared_ptr<const table> rows,
                                  std::shared_ptr<const account_directory> accounts, std::uint64_t version) {
    const std::size_t account_count = accounts->size();
    auto routing =
        std::make_shared<const routing_table>(rows, context_.settings.availability_zone, std::move(accounts));
    context_.routing.update(routing);
    fleet_.set_table_version(version);
    context_.metrics.set_table_version(version);
    context_.metrics.set_account_count(account_count);
    std::set<std::string> services;
    rows->services().for_each([&services](const service_row& row) { services.insert(row.service); });
    for (const std::string& service : services) {
        context_.services.router(service).on_rules(routing->rules_of(service));
    }
    context_.targets.on_rules();
    log_event(event_level::info, "table_in_force",
              {{"version", version},
               {"services", services.size()},
               {"routes", rows->routes().size()},
               {"accounts", account_count}});
}

void control_plane::on_record(const wire::StoredRecord& record, const apply_result& result) {
    if (!result.new_assignments.empty()) {
        claims_.on_assignments(replica_.slots(), result.new_assignments);
    }
    if (result.edit) {
        record_edit(record, *result.edit);
    }
}

void control_plane::record_edit(const wire::StoredRecord& record, const edit_result& edit) {
    decision_record entry;
    entry.subject = decision_subject::edit;
    entry.id = edit.edit_id;
    entry.decision = edit.accepted ? "accepted" : "rejected";
    entry.rule = edit.accepted ? "the base is the current version" : edit.reason;
    entry.evidence = {{"offset", std::to_string(record.offset())},
                      {"version", std::to_string(edit.version)},
                      {"author", edit.author}};
    context_.decisions.add(std::move(entry));
}

awaitable<void> control_plane::append_to_log(std::string record) {
    const append_outcome outcome = co_await log_.append(std::move(record));
    if (outcome.state != append_state::stored) {
        // No retry here: the takeover policy proposes the change again unless a newer assignment is read.
        log_event(event_level::warning, "append_not_confirmed",
                  {{"stream", context_.settings.log_stream},
                   {"unknown", outcome.state == append_state::unknown},
                   {"reason", outcome.detail}});
    }
}

awaitable<void> control_plane::fetch_table() {
    const auto nodes = context_.nodes.read();
    for (const auto& [name, address] : *nodes) {
        if (name != context_.self.name) {
            spawn(fetch_table_from(address.peer), "fetch_table_from");
        }
    }
    co_return;
}

awaitable<void> control_plane::fetch_table_from(endpoint peer) {
    std::string known = std::to_string(replica_.as_of());
    const auto answer = co_await peers_.call(peer, table_method, std::move(known), table_timeout);
    if (!answer.ok() || answer->empty()) {
        co_return;
    }
    const apply_result adopted = replica_.adopt_snapshot(*answer);
    if (!adopted.new_assignments.empty()) {
        claims_.on_assignments(replica_.slots(), adopted.new_assignments);
    }
    if (adopted.table_changed) {
        on_table();
    }
}

void control_plane::create_configuration_feed(const node_platform& platform) {
    const node_settings& settings = context_.settings;
    store_ = platform.make_store(
        control_io_.get_executor(), settings.store->address,
        [this](std::string_view call, unsigned status) { context_.metrics.count_store_call(call, status); });
    feed_ = std::make_unique<configuration_feed>(
        context_.clock, *store_, platform.source, feed_options_of(settings, context_.self.incarnation),
        configuration_feed_hooks{
            .on_configuration = [this](const configuration& next) { on_configuration(next); },
            .on_contact = [this] { context_.account_keys.on_contact(); },
            .on_availability =
                [this](const std::string& reason) {
                    context_.metrics.set_log_available(reason.empty());
                    log_event(event_level::warning, "store_availability",
                              {{"available", reason.empty()}, {"reason", reason}});
                },
            .ask_peers = [this](std::uint64_t version) { return ask_peers(version); },
            .on_store_restored = [this] { spawn(registration_->rewrite(), "registration_rewrite"); }});
    registration_ =
        std::make_unique<node_registration>(*store_, registered_node{context_.self, settings.peer_advertise},
                                            [this](std::vector<registered_node> nodes) {
                                                std::vector<endpoint> contacts;
                                                contacts.reserve(nodes.size());
                                                for (const registered_node& node : nodes) {
                                                    contacts.push_back(node.peer);
                                                }
                                                fleet_.add_seeds(contacts);
                                                registered_peers_ = std::move(contacts);
                                            });
}

void control_plane::on_peer_contact() {
    if (!catch_up_.missing_version()) {
        context_.account_keys.on_contact();
    }
}

void control_plane::on_configuration(const configuration& next) {
    install_table(next.rows, next.accounts, next.version);
    context_.has_configuration = true;
    hooks_.limits_changed(next.limits);
}

void control_plane::fetch_later_configuration() {
    if (feed_->read_is_overtaken()) {
        log_event(event_level::warning, "configuration_read_replaced",
                  {{"version_in_force", feed_->version()}});
        spawn(feed_->run(), "configuration_feed");
    }
    const std::optional<std::uint64_t> missing = catch_up_.missing_version();
    const std::optional<endpoint> source =
        catch_up_.on_tick(fleet_.membership_view(), feed_->store_available());
    if (catch_up_.missing_version() > missing) {
        log_event(event_level::info, "configuration_missing",
                  {{"version", *catch_up_.missing_version()},
                   {"version_in_force", feed_->version()},
                   {"store_available", feed_->store_available()}});
    }
    if (source) {
        spawn(fetch_configuration_from(*source), "fetch_configuration");
    }
}

awaitable<void> control_plane::fetch_configuration_from(endpoint peer) {
    const absl::Cleanup end_call = [this] { catch_up_.on_call_ended(); };
    const steady_time start = context_.clock.now();
    std::string known = std::to_string(feed_->version());
    const auto answer = co_await peers_.call(peer, table_method, std::move(known), configuration_timeout);
    if (answer.ok() && answer->empty()) {
        co_return;  // The peer has no later version. Nodes without the store ask twice a second.
    }
    const bool replaced = answer.ok() && feed_->apply_document(*answer, "peer " + to_string(peer));
    log_event(event_level::info, "configuration_fetch",
              {{"peer", to_string(peer)},
               {"duration_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock.now() - start).count()},
               {"bytes", answer.ok() ? answer->size() : 0},
               {"replaced", replaced},
               {"version_in_force", feed_->version()},
               {"reason", std::string(answer.status().message())}});
}

/// Calls that ask_peers() waits for.
struct control_plane::pending_calls {
    std::size_t count;
    boost::asio::steady_timer ended;  ///< Cancelled when the last call has ended.
};

awaitable<void> control_plane::ask_peers(std::uint64_t version) {
    using boost::asio::as_tuple;
    using boost::asio::use_awaitable;
    const steady_time end = context_.clock.now() + first_configuration_wait;
    auto pending = std::make_shared<pending_calls>(
        pending_calls{.count = 0, .ended = boost::asio::steady_timer(control_io_)});
    while (!registered_peers_ && context_.clock.now() < end) {
        pending->ended.expires_after(registration_poll_interval);
        (void)co_await pending->ended.async_wait(as_tuple(use_awaitable));
    }
    std::vector<endpoint> chosen;
    if (registered_peers_) {
        std::mt19937_64 random(context_.self.incarnation);
        std::sample(registered_peers_->begin(), registered_peers_->end(), std::back_inserter(chosen),
                    first_configuration_peers, random);
    }
    pending->count = chosen.size();
    pending->ended.expires_after(std::max(end - context_.clock.now(), std::chrono::nanoseconds::zero()));
    for (const endpoint& peer : chosen) {
        spawn(ask_peer(peer, version, pending), "ask_peer");
    }
    if (!chosen.empty()) {
        (void)co_await pending->ended.async_wait(as_tuple(use_awaitable));
    }
    log_event(event_level::info, "first_configuration_confirmed",
              {{"store_version", version},
               {"version_in_force", feed_->version()},
               {"asked", chosen.size()},
               {"unanswered", pending->count}});
}

awaitable<void> control_plane::ask_peer(endpoint peer, std::uint64_t version,
                                        std::shared_ptr<pending_calls> pending) {
    const absl::Cleanup end_call = [&pending] {
        if (--pending->count == 0) {
            pending->ended.cancel();
        }
    };
    std::string known = std::to_string(version);
    const auto answer = co_await peers_.call(peer, table_method, std::move(known), configuration_timeout);
    if (answer.ok() && !answer->empty()) {
        feed_->apply_document(*answer, "peer " + to_string(peer));
    }
}

std::uint64_t control_plane::table_version() const {
    return feed_ ? feed_->version() : replica_.version();
}

bool control_plane::store_available() const {
    return feed_ ? feed_->store_available() : follower_.log_available();
}

bool control_plane::ready() const {
    return context_.has_configuration && !context_.draining && fleet_.target_count() > 0;
}

void control_plane::publish_snapshot() {
    const auto nodes = context_.nodes.read();
    const bool is_first = std::none_of(
        nodes->begin(), nodes->end(), [this](const auto& entry) { return entry.first < context_.self.name; });
    // Only the alive node with the lowest name appends snapshots. Two nodes with different membership views
    // may both append one, which is harmless.
    if (!is_first || !replica_.complete() || replica_.as_of() == last_snapshot_offset_) {
        return;
    }
    // The snapshot's own record advances the log by one and must not trigger another snapshot.
    last_snapshot_offset_ = replica_.as_of() + 1;
    spawn(append_to_log(encode_snapshot_record(replica_.make_snapshot())), "append_snapshot");
}

absl::StatusOr<std::string> control_plane::answer_table(std::string_view payload) const {
    if (feed_) {
        // The payload is the configuration version of the requesting node.
        std::uint64_t known = 0;
        if (!absl::SimpleAtoi(absl::string_view(payload.data(), payload.size()), &known)) {
            return absl::InvalidArgumentError("the version of the requesting node is not a number");
        }
        return feed_->version() > known ? feed_->current()->document : std::string();
    }
    // The payload is the log offset up to which the requesting node has read. An empty response means that
    // this node has read no further.
    if (std::string(payload) == std::to_string(replica_.as_of())) {
        return std::string();
    }
    return replica_.make_snapshot();
}

}  // namespace teaselpitch
