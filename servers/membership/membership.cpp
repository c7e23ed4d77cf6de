#include "servers/membership/membership.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

using std::chrono::milliseconds;

// Contacts that a node greets when it hears of many at once; each passes the news on.
constexpr std::size_t most_first_contacts = 16;

constexpr std::size_t datagram_bytes = 1400;
// Version reports fill datagrams only up to here. At 3,200 nodes and 6,500 versions a day they fill every
// datagram, and 1400 bytes would leave no room below 12 KB/s for bursts of facts.
constexpr std::size_t version_datagram_bytes = 1100;
// Pushes of an urgent fact by each node that learns it.
constexpr unsigned pushes_per_fact = 2;

std::string node_subject(std::string_view name) {
    return "n:" + std::string(name);
}

std::string subject_of(const wire::Fact& fact) {
    switch (fact.fact_case()) {
        case wire::Fact::kTarget:
            return "t:" + fact.target().name();
        case wire::Fact::kVerdict:
            return "v:" + fact.verdict().target() + "/" + fact.verdict().origin_node();
        case wire::Fact::kQuarantine:
            return "q:" + std::to_string(fact.quarantine().fingerprint());
        default:
            return node_subject(fact.node().name());
    }
}

bool is_urgent(const wire::Fact& fact) {
    return fact.has_quarantine() || (fact.has_target() && fact.target().state() >= wire::TargetFact::LEAVING);
}

wire::Fact wrap(const member& value) {
    wire::Fact fact;
    *fact.mutable_node() = to_fact(value);
    return fact;
}

}  // namespace

membership::membership(const time_source& clock, std::mt19937_64 random, membership_self self,
                       std::vector<endpoint> seeds, membership_options options, membership_hooks hooks)
    : clock_(clock),
      random_(random),
      seeds_(std::move(seeds)),
      options_(options),
      hooks_(std::move(hooks)),
      queue_(options.gossip),
      versions_(options.version_transmissions) {
    self_.identity = std::move(self.identity);
    self_.availability_zone = std::move(self.availability_zone);
    self_.gossip = std::move(self.gossip);
    self_.peer = std::move(self.peer);
    self_.admin_port = self.admin_port;
    self_.since = clock_.now();
    sequence_ = random_() >> 1U;
    // Random phases keep the probes of nodes that start together apart.
    const auto phase = [this](milliseconds interval) {
        return clock_.now() + milliseconds(random_() % static_cast<std::uint64_t>(interval.count()));
    };
    next_probe_ = phase(options_.probe_interval);
    next_ring_probe_ = phase(options_.probe_interval);
    next_dead_probe_ = phase(options_.dead_probe_interval);
    next_sync_ = phase(options_.sync_interval);
    next_seed_ = clock_.now();
    next_push_ = clock_.now();
    queue_self();
}

membership_output membership::take_output() {
    return std::exchange(output_, {});
}

wire::Datagram membership::message(wire::Datagram::Kind kind, std::uint64_t sequence) const {
    wire::Datagram result;
    result.set_from(self_.identity.name);
    result.set_from_incarnation(self_.identity.incarnation);
    result.set_kind(kind);
    result.set_sequence(sequence);
    return result;
}

void membership::send(const endpoint& to, const wire::Datagram& message) {
    std::string payload = message.SerializeAsString();
    queue_.append_to(payload, datagram_bytes, members_.running().size() + 1);
    versions_.append_to(payload, version_datagram_bytes);
    output_.datagrams.push_back({to, std::move(payload)});
}

void membership::queue_self() {
    // The first word of a node is ordinary; what follows is a drain, a departure or a refutation.
    const bool first = self_.refutation == 0 && !left_ && !self_.draining;
    queue_.push(node_subject(self_.identity.name), wrap(self_).SerializeAsString(),
                first ? fact_urgency::ordinary : fact_urgency::urgent);
}

membership_output membership::on_datagram(const endpoint& from, std::span<const std::byte> payload) {
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
        datagram.from().empty() || datagram.from() == self_.identity.name) {
        return {};
    }
    corrections_.clear();
    for (const wire::Fact& fact : datagram.facts()) {
        take_fact(fact, fact_source::gossip);
    }
    if (datagram.has_versions()) {
        take_versions(datagram.versions());
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

void membership::take_fact(const wire::Fact& fact, fact_source source) {
    if (fact.has_node()) {
        take_node(fact.node(), source);
    } else if (hooks_.on_fact && hooks_.on_fact(fact)) {
        spread(fact);
    }
}

void membership::take_node(const wire::NodeFact& fact, fact_source source) {
    if (fact.name().empty()) {
        return;
    }
    if (fact.name() == self_.identity.name) {
        refute(fact);
        return;
    }
    note_stale(fact);
    changed(members_.apply(fact, source, clock_.now(), options_.suspicion));
    member* known = members_.find(fact.name());
    if (known != nullptr && versions_.has(hash_of(known->identity))) {
        // The report can arrive before the node's own fact.
        known->table_version = std::max<std::uint64_t>(known->table_version, versions_.version());
    }
    if (fact.table_version() > 0) {
        report_version(fact.table_version(), hash_of({fact.name(), fact.incarnation()}));
    }
}

void membership::note_stale(const wire::NodeFact& fact) {
    const member* known = members_.find(fact.name());
    if (known != nullptr && known->identity.incarnation == fact.incarnation() &&
        fact.refutation() < known->refutation && fact.state() != wire::NodeFact::ALIVE) {
        corrections_.push_back(fact.name());
    }
}

void membership::refute(const wire::NodeFact& fact) {
    const bool about_this_life = fact.incarnation() == self_.identity.incarnation;
    if (!about_this_life || fact.state() == wire::NodeFact::ALIVE || fact.refutation() < self_.refutation ||
        left_) {
        return;
    }
    self_.refutation = fact.refutation() + 1;
    queue_self();
    pushes_ = pushes_per_fact;
}

void membership::changed(const std::optional<member_change>& change) {
    if (!change.has_value()) {
        return;
    }
    // A drain shows as a change of a node that stays alive.
    const bool urgent = change->before.has_value() || change->after != node_state::alive;
    queue_.push(node_subject(change->who->identity.name), wrap(*change->who).SerializeAsString(),
                urgent ? fact_urgency::urgent : fact_urgency::ordinary);
    // A refutation is as urgent as the suspicion that it ends, and a drain as a departure.
    if (change->before.has_value()) {
        pushes_ = pushes_per_fact;
    }
    if (change->after == node_state::alive && !first_contact_) {
        first_contact_ = true;
        next_sync_ = clock_.now();
    }
    if (hooks_.on_change) {
        hooks_.on_change(*change);
    }
}

void membership::take_versions(const wire::VersionReport& report) {
    versions_.compare(report.version(), report.known());
    for (const std::uint64_t hash : report.nodes()) {
        report_version(report.version(), hash);
    }
}

void membership::report_version(std::uint64_t version, std::uint64_t node) {
    member* known = versions_.report(version, node) ? members_.find_hash(node) : nullptr;
    if (known != nullptr) {
        known->table_version = std::max<std::uint64_t>(known->table_version, version);
    }
}

void membership::set_table_version(std::uint64_t version) {
    if (version > self_.table_version) {
        self_.table_version = version;
        report_version(version, hash_of(self_.identity));
    }
}

void membership::set_draining(bool draining) {
    if (self_.draining != draining) {
        self_.draining = draining;
        ++self_.refutation;
        queue_self();
        pushes_ = pushes_per_fact;
    }
}

void membership::spread(const wire::Fact& fact) {
    const bool urgent = is_urgent(fact);
    queue_.push(subject_of(fact), fact.SerializeAsString(),
                urgent ? fact_urgency::urgent : fact_urgency::ordinary);
    if (urgent) {
        pushes_ = pushes_per_fact;
    }
}

membership_output membership::gossip(const wire::Fact& fact) {
    spread(fact);
    push_if_due();
    return take_output();
}

void membership::add_seeds(std::span<const endpoint> seeds) {
    for (const endpoint& seed : seeds) {
        if (std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end()) {
            seeds_.push_back(seed);
            fresh_seeds_.push_back(seed);
        }
    }
    std::shuffle(fresh_seeds_.begin(), fresh_seeds_.end(), random_);
    fresh_seeds_.resize(std::min(fresh_seeds_.size(), most_first_contacts));
}

membership_output membership::leave() {
    left_ = true;
    self_.state = node_state::left;
    ++self_.refutation;
    queue_self();
    pushes_ = pushes_per_fact;
    push();
    return take_output();
}

void membership::apply_synced(const wire::NodeFact& fact) {
    take_node(fact, fact_source::sync);
}

void membership::on_ping(const endpoint& from, const wire::Datagram& message_in) {
    const bool meant_for_another =
        !message_in.subject().empty() && message_in.subject() != self_.identity.name;
    if (meant_for_another || left_) {
        return;
    }
    wire::Datagram answer = message(wire::Datagram::ACK, message_in.sequence());
    const member* sender = members_.find(message_in.from());
    if (sender == nullptr || !sender->running()) {
        // A stranger or a node taken for dead gets this node's address, so that both sides meet again.
        *answer.add_facts() = wrap(self_);
    }
    if (sender != nullptr && sender->state != node_state::alive) {
        *answer.add_facts() = wrap(*sender);
    }
    for (const std::string& name : corrections_) {
        *answer.add_facts() = wrap(*members_.find(name));
    }
    send(from, answer);
}

void membership::on_ping_request(const endpoint& from, const wire::Datagram& message_in) {
    if (message_in.subject().empty() || message_in.subject_address().empty()) {
        return;
    }
    const std::uint64_t sequence = ++sequence_;
    relayed_[sequence] = {from, message_in.sequence(), message_in.subject(), clock_.now()};
    wire::Datagram ping = message(wire::Datagram::PING, sequence);
    ping.set_subject(message_in.subject());
    send({message_in.subject_address(), static_cast<std::uint16_t>(message_in.subject_port())}, ping);
}

void membership::on_ack(const wire::Datagram& message_in) {
    const auto relay = relayed_.find(message_in.sequence());
    if (relay != relayed_.end() && relay->second.subject == message_in.from()) {
        wire::Datagram answer = message(wire::Datagram::ACK, relay->second.sequence);
        answer.set_subject(relay->second.subject);
        send(relay->second.requester, answer);
        relayed_.erase(relay);
        return;
    }
    const auto found = probes_.find(message_in.sequence());
    if (found == probes_.end()) {
        return;
    }
    const bool direct = message_in.from() == found->second.name;
    member* target = members_.find(found->second.name);
    if (target != nullptr && (direct || message_in.subject() == found->second.name)) {
        if (direct) {
            target->direct_misses = 0;
        } else {
            target->last_relay = message_in.from();
        }
        probes_.erase(found);
    }
}

}  // namespace teaselpitch
