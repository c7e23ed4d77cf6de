#include "modules/node/control_plane.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

// Bounds how late an expired request is dropped from a queue; well below the shortest useful deadline.
constexpr std::chrono::milliseconds queue_interval{5};
constexpr std::chrono::milliseconds detection_interval{25};
constexpr std::chrono::milliseconds membership_interval{50};
constexpr std::chrono::milliseconds ejector_interval{100};
constexpr std::chrono::milliseconds second_interval{1'000};
// Short compared with the retention of the log, and adds only 1,440 records a day for the whole fleet.
constexpr std::chrono::milliseconds snapshot_interval{60'000};
// When the latest complete read of the log is older than this, slot holders request promises from their
// candidates.
constexpr std::chrono::milliseconds max_fresh_log_age{2'500};

slot_settings slot_settings_of(const node_settings& settings) {
    return {.lease = settings.claim_lease,
            .margin = settings.claim_margin,
            .retention = settings.claim_retention};
}

claim_options claim_options_of(const node_settings& settings) {
    const slot_options times = make_slot_options(slot_settings_of(settings));
    claim_options options;
    options.retention = std::chrono::ceil<std::chrono::seconds>(times.retention);
    options.max_claims = settings.max_claims;
    return options;
}

}  // namespace

control_plane::control_plane(boost::asio::io_context& io_context, node_context& context,
                             const node_platform& platform, hooks shard_callbacks)
    : control_io_(io_context),
      context_(context),
      log_({.address = context.settings.log_address, .stream = context.settings.log_stream}),
      follower_(log_, replica_, context.clock, {.seed = context.self.incarnation},
                {.on_record = [this](const wire::StoredRecord& record,
                                     const apply_result& result) { on_record(record, result); },
                 .on_table = [this] { on_table(); },
                 .on_availability =
                     [this](const std::string& reason) {
                         context_.metrics.set_log_available(reason.empty());
                         log_event(event_level::warning, "log_availability",
                                   {{"available", reason.empty()}, {"reason", reason}});
                     }}),
      peers_(io_context.get_executor(), context.clock,
             {.bind_address = context.settings.bind_address.value_or(""),
              .ping_idle = context.settings.ping_idle,
              .ping_deadline = context.settings.ping_deadline,
              .on_unresponsive_connection = {}}),
      fleet_(io_context.get_executor(), context, peers_,
             {.nodes_changed = [this] { nodes_changed_ = true; },
              .datagram_received = [this] { on_peer_contact(); },
              .targets_changed = [this](const std::string& service) { changed_services_.insert(service); },
              .local_target_departed =
                  [this](const target_identity& target) { departed_targets_.push_back(target); },
              .verdict_received = [this](const wire::VerdictFact& fact) { apply_verdict(fact); },
              .quarantine_received =
                  [this](const wire::QuarantineFact& fact) {
                      context_.targets.quarantine().on_quarantine(
                          {fact.fingerprint(), std::chrono::milliseconds{fact.remaining_ms()}});
                  },
              .crash_received = [this](const wire::CrashFact& fact) { on_crash_fact(fact); },
              .success_received = [this](const wire::SuccessFact& fact) { crashes_.apply(fact); }}),
      health_(context),
      crashes_(context.clock, context.self, context.targets.quarantine(),
               {.quarantined =
                    [this](const std::string& service, const crash_report& crash) {
                        context_.targets.crashes().record_quarantine(service, crash);
                    },
                .released =
                    [](std::uint64_t fingerprint, const std::string& origin) {
                        log_event(event_level::info, "quarantine_ended",
                                  {{"fingerprint", fingerprint}, {"reported_by", origin}});
                    }}),
      claims_(context.clock, slot_settings_of(context.settings), claim_options_of(context.settings),
              context.self, make_claim_hooks()),
      hooks_(std::move(shard_callbacks)),
      catch_up_(context.clock, std::mt19937_64(context.self.incarnation), {}) {
    context.quotas.set_sender(
        [this](outgoing_quota_request message) { spawn(send_quota_request(std::move(message)), "quota"); });
    if (context.settings.store) {
        create_configuration_feed(platform);
    }
}

absl::Status control_plane::start() {
    if (absl::Status started = fleet_.start(); !started.ok()) {
        return started;
    }
    on_nodes_changed();
    if (feed_) {
        spawn(feed_->run(), "configuration_feed");
        spawn(registration_->join(), "node_registration");
    } else {
        spawn(follower_.run(), "log_follower");
        spawn(run_periodically(snapshot_interval, [this] { publish_snapshot(); }), "snapshot_tick");
    }
    start_timers();
    return absl::OkStatus();
}

void control_plane::start_timers() {
    const unsigned factor = context_.settings.tick_factor;
    spawn(run_periodically(queue_interval * factor, [this] { context_.targets.on_queue_tick(); }),
          "queue_tick");
    spawn(run_periodically(detection_interval * factor, [this] { on_detection_tick(); }), "judge_tick");
    spawn(run_periodically(membership_interval * factor,
                           [this] {
                               gossip_all(crashes_.take_crash_facts());
                               fleet_.on_tick();
                               if (feed_) {
                                   fetch_later_configuration();
                               }
                               apply_departures();
                               update_services();
                           }),
          "membership_tick");
    spawn(run_periodically(ejector_interval * factor,
                           [this] {
                               context_.services.on_tick();
                               context_.quotas.on_tick();
                               for (outgoing_limit_report& message : context_.accounts.on_tick()) {
                                   spawn(send_limit_report(std::move(message)), "limit");
                               }
                           }),
          "ejector_tick");
    spawn(run_periodically(second_interval, [this] { on_second_tick(); }), "second_tick");
}

void control_plane::on_detection_tick() {
    context_.targets.on_detection_tick();
    for (outgoing_digest& message : health_.on_detection_tick()) {
        spawn(send_digest(std::move(message)), "digest");
    }
    publish_verdicts();
}

void control_plane::on_second_tick() {
    context_.targets.remove_expired_targets();
    context_.targets.quarantine().on_tick();
    gossip_all(crashes_.take_success_facts());
    context_.path_detector.on_tick();
    if (context_.costs) {
        context_.costs->on_second_tick(context_.targets.all(), context_.metrics);
    }
    fleet_.renew_targets();
    update_retry_budgets();
    context_.metrics.set_dropped_events(dropped_event_count());
    context_.resources.report(context_.metrics);
    loan_report_.on_second_tick(context_.targets.all(), context_.metrics);
    for (outgoing_digest& message : health_.on_second_tick()) {
        spawn(send_digest(std::move(message)), "digest");
    }
    if (!feed_) {
        on_log_tick();
    }
    // Direct reachability can change without a membership change.
    nodes_changed_ = true;
}

void control_plane::update_retry_budgets() {
    std::set<std::string> services;
    for (const auto& target : context_.targets.all()) {
        services.insert(target->guarded().service());
    }
    for (const std::string& service : services) {
        context_.targets.set_target_count(service, fleet_.targets_of(service).size());
    }
}

void control_plane::on_log_tick() {
    const auto fresh = follower_.last_fresh_read();
    if (fresh) {
        claims_.on_fresh_log_read(*fresh);
    }
    const bool log_is_fresh = fresh && context_.clock.now() - *fresh < max_fresh_log_age;
    claims_.on_tick(replica_.slots(), log_is_fresh);
    const claim_counts claims = claims_.counts();
    context_.metrics.set_claims(claims.running + claims.finished + claims.unknown, claims.bytes);
    if (!log_is_fresh) {
        spawn(fetch_table(), "fetch_table");
    }
}

awaitable<void> control_plane::announce_drain() {
    fleet_.set_draining();
    claims_.set_draining();
    boost::asio::steady_timer timer(control_io_);
    const steady_time limit = context_.clock.now() + hand_over_timeout;
    // The slots are handed over first: keyed requests run at this node until the next holder has their slots.
    while (context_.settings.claims_enabled && claims_.held_slots() > 0 && context_.clock.now() < limit &&
           fleet_.directory().size() > 1) {
        claims_.on_tick(replica_.slots(), true);
        timer.expires_after(ejector_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    context_.targets.set_all_leaving();
    update_services();
    // Leaves time for the pushed announcements of the leaving targets to reach the other nodes. The gate
    // refuses requests that arrive later as not run.
    timer.expires_after(call_timeout);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

absl::Status control_plane::on_target_call(const target_call& call) {
    if (call.departure) {
        context_.targets.on_departure(*call.departure);
        update_services();
        return absl::OkStatus();
    }
    const announcement& message = *call.announced;
    const std::optional<local_target_settings>& local_target = context_.settings.local_target;
    if (local_target &&
        (message.service != local_target->service || message.address != local_target->address)) {
        return absl::InvalidArgumentError("target " + message.identity.name + " of service " +
                                          message.service + " at " + to_string(message.address) +
                                          " is not the local target of this node");
    }
    absl::Status accepted = context_.targets.on_announcement(message);
    update_services();
    return accepted;
}

// A predecessor of this node acknowledged these departures, or they came from another node.
void control_plane::apply_departures() {
    for (const target_identity& target : std::exchange(departed_targets_, {})) {
        if (!context_.targets.has_departed(target)) {
            context_.targets.on_departure({.target = target.name, .incarnation = target.incarnation});
        }
    }
}

void control_plane::on_local_target(const managed_target_fact& fact) {
    fleet_.on_local_target(fact);
    changed_services_.insert(fact.service);
}

void control_plane::on_local_crash(const std::string& service, const crash_report& crash) {
    crashes_.on_local_crash(service, crash);
    gossip_quarantine(service, crash.fingerprint);
}

void control_plane::gossip_all(const std::vector<wire::Fact>& facts) {
    for (const wire::Fact& fact : facts) {
        fleet_.gossip(fact);
    }
}

void control_plane::on_crash_fact(const wire::CrashFact& fact) {
    log_event(event_level::info, "crash_reported",
              {{"target", fact.target()},
               {"service", fact.service()},
               {"origin", fact.origin_node()},
               {"age_ms", fact.age_ms()},
               {"fingerprints", fact.fingerprints_size()}});
    crashes_.apply(fact);
}

void control_plane::gossip_quarantine(const std::string& service, std::uint64_t fingerprint) {
    for (const quarantined_fingerprint& known : context_.targets.quarantine().quarantines()) {
        if (known.fingerprint != fingerprint) {
            continue;
        }
        wire::Fact fact;
        wire::QuarantineFact* message = fact.mutable_quarantine();
        message->set_fingerprint(fingerprint);
        message->set_service(service);
        message->set_remaining_ms(static_cast<std::uint64_t>(known.remaining.count()));
        message->set_origin_node(context_.self.name);
        fleet_.gossip(fact);
    }
}

void control_plane::spawn(awaitable<void> task, std::string_view name) {
    boost::asio::co_spawn(control_io_, std::move(task), [name](std::exception_ptr failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            log_event(event_level::error, "task_failed", {{"task", name}, {"reason", error.what()}});
        }
    });
}

awaitable<void> control_plane::run_periodically(std::chrono::milliseconds period,
                                                std::function<void()> work) {
    boost::asio::steady_timer timer(control_io_);
    while (true) {
        timer.expires_after(period);
        co_await timer.async_wait(boost::asio::use_awaitable);
        work();
    }
}

void control_plane::on_nodes_changed() {
    nodes_changed_ = false;
    node_directory directory = fleet_.directory();
    if (!context_.settings.claims_enabled) {
        publish_directory(std::move(directory));
        return;
    }
    std::vector<node_identity> alive;
    alive.reserve(directory.size());
    for (const auto& [name, address] : directory) {
        alive.push_back(address.identity);
    }
    claims_.on_alive_nodes(alive);
    publish_directory(std::move(directory));
}

void control_plane::publish_directory(node_directory directory) {
    std::vector<std::string> names;
    names.reserve(directory.size());
    for (const auto& [name, address] : directory) {
        names.push_back(name);
    }
    // Nodes that left gracefully are not counted as partitioned.
    context_.quotas.on_members({names, fleet_.confirmed_node_count(), fleet_.possible_node_count()});
    context_.accounts.on_nodes(std::move(names), fleet_.possible_node_count());
    context_.metrics.set_known_counts(directory.size(), fleet_.target_count());
    context_.nodes.update(std::make_shared<const node_directory>(std::move(directory)));
}

void control_plane::update_services() {
    if (nodes_changed_) {
        on_nodes_changed();
    }
    std::set<std::string> changed;
    changed.swap(changed_services_);
    for (const std::string& service : changed) {
        context_.services.router(service).on_targets(fleet_.targets_of(service));
        if (context_.settings.claims_enabled) {
            update_places(service);
        }
    }
}

void control_plane::update_places(const std::string& service) {
    const auto nodes = context_.nodes.read();
    std::map<std::string, eligible_node> places;
    for (const registered_target& target : fleet_.targets_of(service)) {
        const auto node = nodes->find(target.node);
        if (target.lifecycle == target_lifecycle::ready && node != nodes->end()) {
            places[target.node] = {node->second.identity, node->second.zone};
        }
    }
    std::vector<eligible_node> list;
    list.reserve(places.size());
    for (auto& [name, place] : places) {
        list.push_back(std::move(place));
    }
    claims_.on_places(service, std::move(list));
}

void control_plane::publish_verdicts() {
    // A smaller change of the score does not affect a routing decision.
    constexpr double min_change = 0.25;
    for (const auto& target : context_.targets.all()) {
        const load_report report = target->guarded().report();
        double& published = published_scores_[report.target];
        const bool crossed = (report.outlier_score >= 1) != (published >= 1);
        if (!crossed && std::abs(report.outlier_score - published) < min_change) {
            continue;
        }
        published = report.outlier_score;
        wire::Fact fact;
        wire::VerdictFact* verdict = fact.mutable_verdict();
        verdict->set_target(report.target);
        verdict->set_target_incarnation(target->guarded().identity().incarnation);
        verdict->set_origin_node(context_.self.name);
        verdict->set_origin_zone(context_.settings.availability_zone);
        verdict->set_badness(report.outlier_score);
        verdict->set_sequence(++verdict_sequence_);
        apply_verdict(*verdict);
        if (!crossed) {
            continue;
        }
        // A hanging target returns no answer that could carry the verdict, so it is also gossiped, and pushed
        // within the zone. The bridges carry it to the other zones.
        fleet_.gossip(fact);
        const std::string payload = verdict->SerializeAsString();
        const auto nodes = context_.nodes.read();
        for (const auto& [name, address] : *nodes) {
            if (name != context_.self.name && address.zone == context_.settings.availability_zone) {
                spawn(send_verdict(address.peer, payload), "verdict");
            }
        }
    }
}

void control_plane::apply_verdict(const wire::VerdictFact& fact) {
    const auto services = context_.services.all();
    for (const auto& [service, router] : *services) {
        if (router->node_of(fact.target()) == fact.origin_node()) {
            router->on_gossiped_verdict(fact.target(), fact.badness());
        }
    }
}

claim_manager_hooks control_plane::make_claim_hooks() {
    claim_manager_hooks hooks;
    hooks.choose_target = [this](std::string_view service) -> std::optional<target_identity> {
        const auto target = context_.targets.least_loaded(service);
        return target ? std::optional<target_identity>(target->guarded().identity()) : std::nullopt;
    };
    hooks.append = [this](wire::SlotChange change) {
        wire::LogRecord record;
        *record.mutable_slots() = std::move(change);
        spawn(append_to_log(record.SerializeAsString()), "append_slots");
    };
    hooks.request_promise = [this](wire::PromiseRequest request) {
        spawn(send_promise_request(std::move(request)), "promise");
    };
    hooks.hand_over = [this](const node_identity& successor, wire::HandOver message) {
        spawn(send_hand_over(successor, std::move(message)), "hand_over");
    };
    return hooks;
}

}  // namespace teaselpitch
