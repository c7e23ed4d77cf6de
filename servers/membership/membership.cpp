#include "servers/membership/membership.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

using std::chrono::milliseconds;

// Maximum number of newly added seeds to contact at once. Each of them gossips this node to others.
constexpr std::size_t max_new_seed_contacts = 16;

constexpr std::size_t max_datagram_bytes = 1400;
// Datagrams carry version reports only up to this size. At 3,200 nodes and 6,500 versions a day the reports
// fill every datagram, and 1400 bytes would leave no room for bursts of facts within 12 KB/s.
constexpr std::size_t max_datagram_bytes_with_versions = 1100;
// Datagrams to other zones carry fewer version reports, because only the newest version matters there within
// seconds.
constexpr std::size_t max_version_bytes_to_other_zones = 288;
// A fact that leaves the zone is sent by each bridge to one bridge of each other zone, an urgent one twice.
constexpr gossip_multipliers remote_transmissions{.ordinary = 1, .urgent = 2};
// The facts about the start of a whole zone need several datagrams.
constexpr std::size_t max_remote_datagrams_per_push = 4;
// Number of times that each node that receives an urgent fact pushes it.
constexpr unsigned pushes_per_urgent_fact = 2;

std::string node_subject(std::string_view name) {
    return "n:" + std::string(name);
}

std::string fact_subject(const wire::Fact& fact) {
    switch (fact.fact_case()) {
        case wire::Fact::kTarget:
            return "t:" + fact.target().name();
        case wire::Fact::kVerdict:
            return "v:" + fact.verdict().target() + "/" + fact.verdict().origin_node();
        case wire::Fact::kQuarantine:
            return "q:" + std::to_string(fact.quarantine().fingerprint());
        case wire::Fact::kSuccess:
            return "s:" + std::to_string(fact.success().fingerprint()) + "/" + fact.success().origin_node();
        case wire::Fact::kCrash:
            return "c:" + fact.crash().origin_node() + "/" + std::to_string(fact.crash().sequence());
        default:
            return node_subject(fact.node().name());
    }
}

bool is_urgent(const wire::Fact& fact) {
    return fact.has_quarantine() || fact.has_crash() || fact.has_success() ||
           (fact.has_target() && fact.target().state() >= wire::TargetFact::LEAVING);
}

wire::Fact to_fact(const member& value) {
    wire::Fact fact;
    *fact.mutable_node() = to_node_fact(value);
    return fact;
}

}  // namespace

membership::membership(const time_source& clock, std::mt19937_64 random, membership_local_node self,
                       std::vector<endpoint> seeds, membership_options options, membership_hooks hooks)
    : clock_(clock),
      random_(random),
      seeds_(std::move(seeds)),
      options_(options),
      hooks_(std::move(hooks)),
      bridges_(options.bridges_per_zone),
      queue_(options.gossip),
      remote_queue_(remote_transmissions),
      versions_(options.version_transmissions) {
    self_.identity = std::move(self.identity);
    self_.availability_zone = std::move(self.availability_zone);
    self_.gossip = std::move(self.gossip);
    self_.peer = std::move(self.peer);
    self_.admin_port = self.admin_port;
    self_.state_changed_at = clock_.now();
    sequence_ = random_() >> 1U;
    // Random phases spread the probes of nodes that start at the same time.
    const auto phase = [this](milliseconds interval) {
        return clock_.now() + milliseconds(random_() % static_cast<std::uint64_t>(interval.count()));
    };
    next_probe_ = phase(options_.probe_interval);
    next_ring_probe_ = phase(options_.probe_interval);
    next_bridge_probe_ = phase(options_.probe_interval);
    next_remote_probe_ = phase(options_.remote_probe_interval);
    next_dead_probe_ = phase(options_.dead_probe_interval);
    next_sync_ = phase(options_.sync_interval);
    next_remote_sync_ = phase(options_.sync_interval);
    next_seed_ = clock_.now();
    next_push_ = clock_.now();
    next_remote_push_ = clock_.now();
    queue_own_fact();
}

membership_output membership::take_output() {
    return std::exchange(output_, {});
}

wire::Datagram membership::make_datagram(wire::Datagram::Kind kind, std::uint64_t sequence) const {
    wire::Datagram result;
    result.set_from(self_.identity.name);
    result.set_from_incarnation(self_.identity.incarnation);
    result.set_kind(kind);
    result.set_sequence(sequence);
    return result;
}

void membership::update_bridges() {
    if (!bridges_outdated_) {
        return;
    }
    bridges_outdated_ = false;
    const bool was_bridge = bridges_.is_bridge();
    bridges_.update(self_, members_.running());
    if (bridges_.is_bridge() && !was_bridge) {
        // The previous bridge may have failed before it passed on the latest facts.
        next_remote_sync_ = std::min(next_remote_sync_, clock_.now() + options_.probe_interval);
    }
}

// An unknown receiver counts as one of this zone.
bool membership::is_remote(const endpoint& to) const {
    const member* receiver = members_.find_by_gossip_endpoint(to);
    return receiver != nullptr && receiver->availability_zone != self_.availability_zone;
}

void membership::send(const endpoint& to, const wire::Datagram& message) {
    std::string payload = message.SerializeAsString();
    if (is_remote(to)) {
        versions_.append_to(payload, payload.size() + max_version_bytes_to_other_zones);
    } else {
        update_bridges();
        queue_.append_to(payload, max_datagram_bytes, bridges_.zone_members().size() + 1);
        versions_.append_to(payload, max_datagram_bytes_with_versions);
    }
    output_.datagrams.push_back({to, std::move(payload)});
}

void membership::queue_gossip(const std::string& subject, const std::string& fact, fact_urgency urgency,
                              fact_reach reach) {
    queue_.push(subject, fact, urgency);
    if (reach == fact_reach::everywhere) {
        update_bridges();
        if (!bridges_.remote_zones().empty()) {
            remote_queue_.push(subject, fact, urgency);
        }
    }
}

// The bridges of a zone pass on what concerns their own zone. Everything else has come from another zone.
membership::fact_reach membership::reach_of(const wire::Fact& fact) const {
    const auto zone_of_node = [this](const std::string& name) {
        const member* node = name == self_.identity.name ? &self_ : members_.find(name);
        return node == nullptr ? std::string_view() : std::string_view(node->availability_zone);
    };
    std::string_view zone;
    switch (fact.fact_case()) {
        case wire::Fact::kTarget:
            zone = zone_of_node(fact.target().node());
            break;
        case wire::Fact::kVerdict:
            zone = fact.verdict().origin_zone();
            break;
        case wire::Fact::kQuarantine:
            zone = zone_of_node(fact.quarantine().origin_node());
            break;
        case wire::Fact::kSuccess:
            zone = zone_of_node(fact.success().origin_node());
            break;
        case wire::Fact::kCrash:
            zone = zone_of_node(fact.crash().origin_node());
            break;
        default:
            zone = fact.node().availability_zone();
            break;
    }
    return bridges_.is_bridge() && zone == self_.availability_zone ? fact_reach::everywhere
                                                                   : fact_reach::zone;
}

void membership::queue_own_fact() {
    // The first announcement of a node is ordinary. Later ones announce a drain, a departure or a refutation.
    const bool first = self_.refutation == 0 && !left_ && !self_.draining;
    queue_gossip(node_subject(self_.identity.name), to_fact(self_).SerializeAsString(),
                 first ? fact_urgency::ordinary : fact_urgency::urgent, fact_reach::everywhere);
}

membership_output membership::on_datagram(const endpoint& from, std::span<const std::byte> payload) {
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
        datagram.from().empty() || datagram.from() == self_.identity.name) {
        return {};
    }
    corrections_.clear();
    for (const wire::Fact& fact : datagram.facts()) {
        apply_fact(fact, fact_source::gossip);
    }
    if (datagram.has_versions()) {
        apply_version_report(datagram.versions());
    }
    switch (datagram.kind()) {
        case wire::Datagram::PING:
            on_ping(from, datagram);
            break;
        case wire::Datagram::ACK:
            on_ack(datagram);
            break;
        case wire::Datagram::PING_REQUEST:
            on_ping_request(from, datagram);
            break;
        default:
            break;
    }
    push_if_due();
    return take_output();
}

void membership::apply_fact(const wire::Fact& fact, fact_source source) {
    if (fact.has_node()) {
        apply_node_fact(fact.node(), source);
    } else if (hooks_.on_fact && hooks_.on_fact(fact)) {
        update_bridges();
        queue_fact(fact, reach_of(fact));
    }
}

void membership::apply_node_fact(const wire::NodeFact& fact, fact_source source) {
    if (fact.name().empty()) {
        return;
    }
    if (fact.name() == self_.identity.name) {
        refute(fact);
        return;
    }
    queue_correction(fact);
    on_member_change(members_.apply(fact, source, clock_.now(), options_.suspicion));
    member* known = members_.find(fact.name());
    if (known != nullptr && versions_.serves_newest(identity_hash(known->identity))) {
        // The version report of a node can arrive before the fact about the node.
        known->table_version = std::max<std::uint64_t>(known->table_version, versions_.version());
    }
    if (fact.table_version() > 0) {
        report_version(fact.table_version(), identity_hash({fact.name(), fact.incarnation()}));
    }
}

void membership::queue_correction(const wire::NodeFact& fact) {
    const member* known = members_.find(fact.name());
    if (known != nullptr && known->identity.incarnation == fact.incarnation() &&
        fact.refutation() < known->refutation && fact.state() != wire::NodeFact::ALIVE) {
        corrections_.push_back(fact.name());
    }
}

void membership::refute(const wire::NodeFact& fact) {
    const bool about_this_incarnation = fact.incarnation() == self_.identity.incarnation;
    if (!about_this_incarnation || fact.state() == wire::NodeFact::ALIVE ||
        fact.refutation() < self_.refutation || left_) {
        return;
    }
    self_.refutation = fact.refutation() + 1;
    queue_own_fact();
    remaining_pushes_ = pushes_per_urgent_fact;
}

void membership::on_member_change(const std::optional<member_change>& change) {
    if (!change.has_value()) {
        return;
    }
    bridges_outdated_ = true;
    update_bridges();
    // A drain is a change of a member whose state stays alive.
    const bool urgent = change->previous_state.has_value() || change->new_state != node_state::alive;
    const wire::Fact fact = to_fact(*change->changed_member);
    queue_gossip(node_subject(change->changed_member->identity.name), fact.SerializeAsString(),
                 urgent ? fact_urgency::urgent : fact_urgency::ordinary, reach_of(fact));
    // A refutation is as urgent as the suspicion that it ends, and a drain is as urgent as a departure.
    if (change->previous_state.has_value()) {
        remaining_pushes_ = pushes_per_urgent_fact;
    }
    if (change->new_state == node_state::alive && !has_had_contact_) {
        has_had_contact_ = true;
        next_sync_ = clock_.now();
    }
    if (hooks_.on_change) {
        hooks_.on_change(*change);
    }
}

void membership::apply_version_report(const wire::VersionReport& report) {
    versions_.resend_missing(report.version(), report.known());
    for (const std::uint64_t hash : report.nodes()) {
        report_version(report.version(), hash);
    }
}

void membership::report_version(std::uint64_t version, std::uint64_t node) {
    if (version > versions_.version()) {
        remaining_pushes_ = pushes_per_urgent_fact;
        remaining_version_pushes_ = pushes_per_urgent_fact;
    }
    member* known = versions_.add_report(version, node) ? members_.find_by_hash(node) : nullptr;
    if (known != nullptr) {
        known->table_version = std::max<std::uint64_t>(known->table_version, version);
    }
}

membership_output membership::set_table_version(std::uint64_t version) {
    if (version > self_.table_version) {
        self_.table_version = version;
        report_version(version, identity_hash(self_.identity));
        push_if_due();
    }
    return take_output();
}

void membership::set_draining(bool draining) {
    if (self_.draining != draining) {
        self_.draining = draining;
        bridges_outdated_ = true;
        ++self_.refutation;
        queue_own_fact();
        remaining_pushes_ = pushes_per_urgent_fact;
    }
}

void membership::queue_fact(const wire::Fact& fact, fact_reach reach) {
    const bool urgent = is_urgent(fact);
    queue_gossip(fact_subject(fact), fact.SerializeAsString(),
                 urgent ? fact_urgency::urgent : fact_urgency::ordinary, reach);
    if (urgent) {
        remaining_pushes_ = pushes_per_urgent_fact;
    }
}

membership_output membership::gossip(const wire::Fact& fact) {
    // An urgent fact leaves the zone at once; an ordinary one through the bridges.
    update_bridges();
    const bool leaves_zone = is_urgent(fact) || bridges_.is_bridge();
    queue_fact(fact, leaves_zone ? fact_reach::everywhere : fact_reach::zone);
    push_if_due();
    return take_output();
}

membership_output membership::inform(std::string_view node, const wire::Fact& fact) {
    if (const member* receiver = members_.find(node)) {
        wire::Datagram message = make_datagram(wire::Datagram::GOSSIP, 0);
        *message.add_facts() = fact;
        send(receiver->gossip, message);
    }
    return take_output();
}

void membership::add_seeds(std::span<const endpoint> seeds) {
    for (const endpoint& seed : seeds) {
        if (std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end()) {
            seeds_.push_back(seed);
            new_seeds_.push_back(seed);
        }
    }
    std::shuffle(new_seeds_.begin(), new_seeds_.end(), random_);
    new_seeds_.resize(std::min(new_seeds_.size(), max_new_seed_contacts));
}

membership_output membership::leave() {
    left_ = true;
    self_.state = node_state::left;
    ++self_.refutation;
    queue_own_fact();
    remaining_pushes_ = pushes_per_urgent_fact;
    push();
    push_to_other_zones();
    return take_output();
}

void membership::push() {
    update_bridges();
    for (const member* target :
         pick_random(bridges_.zone_members(), options_.push_fanout, self_.identity.name)) {
        send(target->gossip, make_datagram(wire::Datagram::GOSSIP, 0));
    }
}

void membership::push_to_other_zones() {
    update_bridges();
    for (std::size_t i = 0; i < max_remote_datagrams_per_push && remote_queue_.size() > 0; ++i) {
        std::string payload = make_datagram(wire::Datagram::GOSSIP, 0).SerializeAsString();
        remote_queue_.append_to(payload, max_datagram_bytes, 1);
        for (const remote_zone& zone : bridges_.remote_zones()) {
            const member* bridge = zone.bridges[random_() % zone.bridges.size()];
            output_.datagrams.push_back({bridge->gossip, payload});
        }
    }
}

void membership::push_version_to_other_zones() {
    update_bridges();
    if (remaining_version_pushes_ == 0) {
        return;
    }
    --remaining_version_pushes_;
    if (!bridges_.is_bridge()) {
        return;
    }
    for (const remote_zone& zone : bridges_.remote_zones()) {
        const member* bridge = zone.bridges[random_() % zone.bridges.size()];
        send(bridge->gossip, make_datagram(wire::Datagram::GOSSIP, 0));
    }
}

void membership::push_if_due() {
    const steady_time now = clock_.now();
    if (remaining_pushes_ > 0 && now >= next_push_) {
        --remaining_pushes_;
        next_push_ = now + options_.push_interval;
        push();
    }
    if ((remote_queue_.size() > 0 || remaining_version_pushes_ > 0) && now >= next_remote_push_) {
        next_remote_push_ = now + options_.push_interval;
        push_to_other_zones();
        push_version_to_other_zones();
    }
}

void membership::apply_synced_fact(const wire::NodeFact& fact) {
    apply_node_fact(fact, fact_source::sync);
}

void membership::on_ping(const endpoint& from, const wire::Datagram& received) {
    const bool addressed_to_other_node =
        !received.subject().empty() && received.subject() != self_.identity.name;
    if (addressed_to_other_node || left_) {
        return;
    }
    wire::Datagram answer = make_datagram(wire::Datagram::ACK, received.sequence());
    const member* sender = members_.find(received.from());
    if (sender == nullptr || !sender->running()) {
        // An unknown or dead sender receives this node's address, so that both nodes add each other again.
        *answer.add_facts() = to_fact(self_);
    }
    if (sender != nullptr && sender->state != node_state::alive) {
        *answer.add_facts() = to_fact(*sender);
    }
    for (const std::string& name : corrections_) {
        *answer.add_facts() = to_fact(*members_.find(name));
    }
    send(from, answer);
}

void membership::on_ping_request(const endpoint& from, const wire::Datagram& received) {
    if (received.subject().empty() || received.subject_address().empty()) {
        return;
    }
    const std::uint64_t sequence = ++sequence_;
    relayed_probes_[sequence] = {from, received.sequence(), received.subject(), clock_.now()};
    wire::Datagram ping = make_datagram(wire::Datagram::PING, sequence);
    ping.set_subject(received.subject());
    send({received.subject_address(), static_cast<std::uint16_t>(received.subject_port())}, ping);
}

void membership::on_ack(const wire::Datagram& received) {
    const auto relay = relayed_probes_.find(received.sequence());
    if (relay != relayed_probes_.end() && relay->second.subject == received.from()) {
        wire::Datagram answer = make_datagram(wire::Datagram::ACK, relay->second.sequence);
        answer.set_subject(relay->second.subject);
        send(relay->second.requester, answer);
        relayed_probes_.erase(relay);
        return;
    }
    const auto found = pending_probes_.find(received.sequence());
    if (found == pending_probes_.end()) {
        return;
    }
    const bool direct = received.from() == found->second.name;
    member* target = members_.find(found->second.name);
    if (target != nullptr && (direct || received.subject() == found->second.name)) {
        if (direct) {
            target->direct_failures = 0;
        } else {
            target->last_relay = received.from();
        }
        pending_probes_.erase(found);
    }
}

}  // namespace teaselpitch
