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
        default:
            return node_subject(fact.node().name());
    }
}

bool is_urgent(const wire::Fact& fact) {
    return fact.has_quarantine() || (fact.has_target() && fact.target().state() >= wire::TargetFact::LEAVING);
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
      queue_(options.gossip),
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
    next_dead_probe_ = phase(options_.dead_probe_interval);
    next_sync_ = phase(options_.sync_interval);
    next_seed_ = clock_.now();
    next_push_ = clock_.now();
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

void membership::send(const endpoint& to, const wire::Datagram& message) {
    std::string payload = message.SerializeAsString();
    queue_.append_to(payload, max_datagram_bytes, members_.running().size() + 1);
    versions_.append_to(payload, max_datagram_bytes_with_versions);
    output_.datagrams.push_back({to, std::move(payload)});
}

void membership::queue_own_fact() {
    // The first announcement of a node is ordinary. Later ones announce a drain, a departure or a refutation.
    const bool first = self_.refutation == 0 && !left_ && !self_.draining;
    queue_.push(node_subject(self_.identity.name), to_fact(self_).SerializeAsString(),
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
        queue_fact(fact);
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
    // A drain is a change of a member whose state stays alive.
    const bool urgent = change->previous_state.has_value() || change->new_state != node_state::alive;
    queue_.push(node_subject(change->changed_member->identity.name),
                to_fact(*change->changed_member).SerializeAsString(),
                urgent ? fact_urgency::urgent : fact_urgency::ordinary);
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
    member* known = versions_.add_report(version, node) ? members_.find_by_hash(node) : nullptr;
    if (known != nullptr) {
        known->table_version = std::max<std::uint64_t>(known->table_version, version);
    }
}

void membership::set_table_version(std::uint64_t version) {
    if (version > self_.table_version) {
        self_.table_version = version;
        report_version(version, identity_hash(self_.identity));
    }
}

void membership::set_draining(bool draining) {
    if (self_.draining != draining) {
        self_.draining = draining;
        ++self_.refutation;
        queue_own_fact();
        remaining_pushes_ = pushes_per_urgent_fact;
    }
}

void membership::queue_fact(const wire::Fact& fact) {
    const bool urgent = is_urgent(fact);
    queue_.push(fact_subject(fact), fact.SerializeAsString(),
                urgent ? fact_urgency::urgent : fact_urgency::ordinary);
    if (urgent) {
        remaining_pushes_ = pushes_per_urgent_fact;
    }
}

membership_output membership::gossip(const wire::Fact& fact) {
    queue_fact(fact);
    push_if_due();
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
    return take_output();
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
