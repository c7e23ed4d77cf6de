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

// Queued requests are dropped at most this late; well below the shortest useful deadline.
constexpr std::chrono::milliseconds queue_tick{5};
constexpr std::chrono::milliseconds judge_tick{25};
constexpr std::chrono::milliseconds membership_tick{50};
constexpr std::chrono::milliseconds ejector_tick{100};
constexpr std::chrono::milliseconds second_tick{1'000};
// Short against the retention of a log, and 1,440 records a day for the whole fleet.
constexpr std::chrono::milliseconds snapshot_tick{60'000};
constexpr std::chrono::milliseconds call_timeout{1'000};
constexpr std::chrono::milliseconds hand_over_timeout{5'000};
// A read of the log older than this makes holders ask their candidates for promises.
constexpr std::chrono::milliseconds fresh_log_age{2'500};

constexpr std::string_view digest_method = "digest";
constexpr std::string_view verdict_method = "verdict";
constexpr std::string_view limit_method = "limit";
constexpr std::string_view promise_method = "promise";
constexpr std::string_view hand_over_method = "hand_over";

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

control_plane::control_plane(boost::asio::io_context& control, node_context& context,
                             const node_platform& platform, hooks told)
    : control_(control),
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
      peers_(control.get_executor(), context.clock,
             {.bind_address = context.settings.bind_address.value_or(""),
              .ping_idle = context.settings.ping_idle,
              .ping_deadline = context.settings.ping_deadline,
              .on_silent_connection = {}}),
      fleet_(control.get_executor(), context, peers_,
             {.nodes_changed = [this] { nodes_changed_ = true; },
              .targets_changed = [this](const std::string& service) { changed_services_.insert(service); },
              .verdict = [this](const wire::VerdictFact& fact) { take_verdict(fact); },
              .quarantine =
                  [this](const wire::QuarantineFact& fact) {
                      context_.targets.quarantine().on_quarantine(
                          {fact.fingerprint(), std::chrono::milliseconds{fact.remaining_ms()}});
                  }}),
      health_(context),
      claims_(context.clock, slot_settings_of(context.settings), claim_options_of(context.settings),
              context.self, make_claim_hooks()),
      hooks_(std::move(told)) {
    if (context.settings.store) {
        make_feed(platform);
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
        spawn(every(snapshot_tick, [this] { publish_snapshot(); }), "snapshot_tick");
    }
    start_timers();
    return absl::OkStatus();
}

void control_plane::start_timers() {
    const unsigned factor = context_.settings.tick_factor;
    spawn(every(queue_tick * factor, [this] { context_.targets.on_queue_tick(); }), "queue_tick");
    spawn(every(judge_tick * factor, [this] { on_judge_tick(); }), "judge_tick");
    spawn(every(membership_tick * factor,
                [this] {
                    fleet_.on_tick();
                    update_services();
                }),
          "membership_tick");
    spawn(every(ejector_tick * factor,
                [this] {
                    context_.services.on_tick();
                    for (outgoing_limit_report& message : context_.accounts.on_tick()) {
                        spawn(send_limit_report(std::move(message)), "limit");
                    }
                }),
          "ejector_tick");
    spawn(every(second_tick, [this] { on_second(); }), "second_tick");
}

void control_plane::on_judge_tick() {
    context_.targets.on_judge_tick();
    for (outgoing_digest& message : health_.on_judge_tick()) {
        spawn(send_digest(std::move(message)), "digest");
    }
    spread_verdicts();
}

void control_plane::on_second() {
    context_.targets.expire();
    context_.targets.quarantine().on_tick();
    context_.paths.on_tick();
    fleet_.renew_targets();
    share_repeat_budgets();
    context_.metrics.set_dropped_events(dropped_events());
    for (outgoing_digest& message : health_.on_second()) {
        spawn(send_digest(std::move(message)), "digest");
    }
    if (feed_) {
        fetch_later_configuration();
    } else {
        tick_log();
    }
    // Reachability changes without a change of the membership.
    nodes_changed_ = true;
}

void control_plane::share_repeat_budgets() {
    std::set<std::string> services;
    for (const auto& target : context_.targets.all()) {
        services.insert(target->guarded().service());
    }
    for (const std::string& service : services) {
        context_.targets.on_service_size(service, fleet_.targets_of(service).size());
    }
}

void control_plane::tick_log() {
    const auto fresh = follower_.last_fresh_read();
    if (fresh) {
        claims_.on_fresh_log_read(*fresh);
    }
    const bool log_is_fresh = fresh && context_.clock.now() - *fresh < fresh_log_age;
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
    boost::asio::steady_timer timer(control_);
    const steady_time limit = context_.clock.now() + hand_over_timeout;
    // Slots first: keyed requests keep running here until a successor has them.
    while (context_.settings.claims_enabled && claims_.held_slots() > 0 && context_.clock.now() < limit &&
           fleet_.directory().size() > 1) {
        claims_.on_tick(replica_.slots(), true);
        timer.expires_after(ejector_tick);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    context_.targets.leave_all();
    update_services();
    // Other nodes hear of the leaving targets by pushes; the gate refuses those that come late as not-run.
    timer.expires_after(call_timeout);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

absl::Status control_plane::on_target_call(const target_call& call) {
    if (call.left) {
        context_.targets.on_departure(*call.left);
        update_services();
        return absl::OkStatus();
    }
    const announcement& message = *call.announced;
    const std::optional<neighbour_settings>& beside = context_.settings.beside;
    if (beside && (message.service != beside->service || message.address != beside->address)) {
        return absl::InvalidArgumentError("target " + message.identity.name + " of service " +
                                          message.service + " at " + to_string(message.address) +
                                          " is not the one beside this node");
    }
    absl::Status taken = context_.targets.on_announcement(message);
    update_services();
    return taken;
}

void control_plane::on_own_target(const kept_target_fact& fact) {
    fleet_.on_own_target(fact);
    changed_services_.insert(fact.service);
}

void control_plane::on_quarantine(const std::string& service, std::uint64_t fingerprint) {
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

awaitable<absl::StatusOr<std::string>> control_plane::handle_call(std::string method, std::string payload) {
    if (method == fleet_membership::groups_method || method == fleet_membership::facts_method) {
        co_return fleet_.answer_sync(method, payload);
    }
    if (method == digest_method) {
        co_return health_.answer(payload);
    }
    if (method == table_method) {
        co_return answer_table(payload);
    }
    if (method == verdict_method) {
        wire::VerdictFact fact;
        if (fact.ParseFromString(payload)) {
            take_verdict(fact);
            co_return std::string();
        }
    } else if (method == limit_method) {
        wire::LimitReport report;
        if (report.ParseFromString(payload)) {
            co_return context_.accounts.on_report(report).SerializeAsString();
        }
    } else if (method == promise_method) {
        wire::PromiseRequest request;
        if (request.ParseFromString(payload)) {
            co_return claims_.on_promise_request(request).SerializeAsString();
        }
    } else if (method == hand_over_method) {
        wire::HandOver message;
        if (message.ParseFromString(payload)) {
            const absl::Status taken = claims_.on_hand_over(message);
            co_return taken.ok() ? absl::StatusOr<std::string>(std::string()) : taken;
        }
    } else {
        co_return absl::UnimplementedError("unknown control method \"" + method + "\"");
    }
    co_return absl::InvalidArgumentError("the payload of \"" + method + "\" is malformed");
}

void control_plane::spawn(awaitable<void> task, std::string_view name) {
    boost::asio::co_spawn(control_, std::move(task), [name](std::exception_ptr failure) {
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

awaitable<void> control_plane::every(std::chrono::milliseconds period, std::function<void()> work) {
    boost::asio::steady_timer timer(control_);
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
    // Nodes that left on purpose do not count as cut off.
    context_.accounts.on_nodes(std::move(names), fleet_.possible_node_count());
    context_.metrics.set_known(directory.size(), fleet_.target_count());
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
    std::map<std::string, node_place> places;
    for (const registered_target& target : fleet_.targets_of(service)) {
        const auto node = nodes->find(target.node);
        if (target.lifecycle == target_lifecycle::ready && node != nodes->end()) {
            places[target.node] = {node->second.identity, node->second.zone};
        }
    }
    std::vector<node_place> list;
    list.reserve(places.size());
    for (auto& [name, place] : places) {
        list.push_back(std::move(place));
    }
    claims_.on_places(service, std::move(list));
}

void control_plane::spread_verdicts() {
    // A change below this does not move a decision.
    constexpr double step = 0.25;
    for (const auto& target : context_.targets.all()) {
        const load_report report = target->guarded().report();
        double& spread = spread_badness_[report.target];
        const bool crossed = (report.outlier_score >= 1) != (spread >= 1);
        if (!crossed && std::abs(report.outlier_score - spread) < step) {
            continue;
        }
        spread = report.outlier_score;
        wire::Fact fact;
        wire::VerdictFact* verdict = fact.mutable_verdict();
        verdict->set_target(report.target);
        verdict->set_target_incarnation(target->guarded().identity().incarnation);
        verdict->set_origin_node(context_.self.name);
        verdict->set_origin_zone(context_.settings.availability_zone);
        verdict->set_badness(report.outlier_score);
        verdict->set_sequence(++verdict_sequence_);
        take_verdict(*verdict);
        if (!crossed) {
            continue;
        }
        // A target that hangs gives no answer that could carry the verdict.
        fleet_.gossip(fact);
        const std::string payload = verdict->SerializeAsString();
        for (const auto& [name, address] : *context_.nodes.read()) {
            if (name != context_.self.name) {
                spawn(send_verdict(address.peer, payload), "verdict");
            }
        }
    }
}

void control_plane::take_verdict(const wire::VerdictFact& fact) {
    for (const auto& [service, router] : *context_.services.all()) {
        if (router->node_of(fact.target()) == fact.origin_node()) {
            router->on_gossiped_verdict(fact.target(), fact.badness());
        }
    }
}

awaitable<void> control_plane::send_digest(outgoing_digest message) {
    std::string payload = message.digest.SerializeAsString();
    const auto answer = co_await peers_.call(message.peer, digest_method, std::move(payload), call_timeout);
    wire::ServiceDigest digest;
    if (answer.ok() && digest.ParseFromString(*answer)) {
        health_.take(digest);
    }
}

awaitable<void> control_plane::send_limit_report(outgoing_limit_report message) {
    const std::optional<endpoint> peer = peer_of(message.home);
    if (!peer) {
        co_return;
    }
    std::string payload = message.report.SerializeAsString();
    const auto answer = co_await peers_.call(*peer, limit_method, std::move(payload), call_timeout);
    wire::LimitGrant grant;
    if (answer.ok() && grant.ParseFromString(*answer)) {
        context_.accounts.on_grant(grant);
    }
}

awaitable<void> control_plane::send_verdict(endpoint peer, std::string payload) {
    // A lost verdict still arrives by gossip and on answers.
    (void)co_await peers_.call(peer, verdict_method, std::move(payload), call_timeout);
}

awaitable<void> control_plane::send_promise_request(wire::PromiseRequest request) {
    const std::optional<endpoint> peer = peer_of(request.candidate().name());
    if (!peer) {
        co_return;
    }
    std::string payload = request.SerializeAsString();
    const auto answer = co_await peers_.call(*peer, promise_method, std::move(payload), call_timeout);
    wire::PromiseReply reply;
    if (answer.ok() && reply.ParseFromString(*answer)) {
        claims_.on_promise_reply(reply);
    }
}

awaitable<void> control_plane::send_hand_over(node_identity successor, wire::HandOver message) {
    const std::optional<endpoint> peer = peer_of(successor.name);
    if (!peer) {
        co_return;
    }
    std::string payload = message.SerializeAsString();
    const auto answer = co_await peers_.call(*peer, hand_over_method, std::move(payload), hand_over_timeout);
    log_event(answer.ok() ? event_level::info : event_level::warning, "hand_over",
              {{"service", message.claims().service()},
               {"slot", message.claims().slot()},
               {"successor", successor.name},
               {"claims", message.claims().claims_size()},
               {"taken", answer.ok()},
               {"reason", answer.ok() ? "" : std::string(answer.status().message())}});
}

std::optional<endpoint> control_plane::peer_of(const std::string& node) const {
    const auto nodes = context_.nodes.read();
    const auto found = nodes->find(node);
    return found == nodes->end() ? std::nullopt : std::optional<endpoint>(found->second.peer);
}

claim_keeper_hooks control_plane::make_claim_hooks() {
    claim_keeper_hooks hooks;
    hooks.choose_target = [this](std::string_view service) -> std::optional<target_identity> {
        const auto target = context_.targets.least_loaded(service);
        return target ? std::optional<target_identity>(target->guarded().identity()) : std::nullopt;
    };
    hooks.append = [this](wire::SlotChange change) {
        wire::LogRecord record;
        *record.mutable_slots() = std::move(change);
        spawn(append(record.SerializeAsString()), "append_slots");
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
