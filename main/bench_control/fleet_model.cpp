#include "main/bench_control/fleet_model.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds tick{100};
constexpr std::uint64_t ticks_per_second = 10;
constexpr std::uint64_t ticks_per_sync = 100;
constexpr double ticks_per_day = 864'000;
constexpr double nodes_at_full_size = 3200;
constexpr std::size_t services = 2800;
// Pushes that each node gets for an urgent fact: three targets, twice.
constexpr std::size_t pushes_per_fact = 6;
// A version is adopted everywhere within about 4 s.
constexpr std::size_t adoption_ticks = 40;
constexpr std::size_t datagram_limit = 1400;
constexpr std::size_t version_datagram_limit = 1100;

std::string node_name(std::size_t index) {
    return "node-" + std::to_string(index);
}

}  // namespace

fleet_model::fleet_model(manual_time_source& clock, fleet_options options)
    : clock_(clock),
      options_(options),
      random_(options.seed),
      queue_(membership_options{}.gossip),
      versions_(membership_options{}.version_transmissions),
      node_incarnations_(options.nodes, 1'700'000'000'000'000),
      target_incarnations_(options.nodes * options.targets_per_node, 1'700'000'000'000'000),
      reported_(options.nodes) {}

wire::Fact fleet_model::node_fact(std::size_t index, wire::NodeFact::State state) const {
    wire::Fact fact;
    wire::NodeFact& node = *fact.mutable_node();
    node.set_name(node_name(index));
    node.set_incarnation(node_incarnations_[index]);
    node.set_state(state);
    node.set_address("10.1." + std::to_string(index / 256) + "." + std::to_string(index % 256));
    node.set_peer_port(7401);
    node.set_admin_port(7402);
    node.set_availability_zone("zone-" + std::to_string(index % 20));
    node.set_table_version(version_);
    return fact;
}

wire::Fact fleet_model::target_fact(std::size_t node, std::size_t target, wire::TargetFact::State state) {
    const std::size_t index = node * options_.targets_per_node + target;
    wire::Fact fact;
    wire::TargetFact& message = *fact.mutable_target();
    message.set_name("target-" + std::to_string(index));
    message.set_incarnation(target_incarnations_[index]);
    message.set_sequence(node_incarnations_[node] + ++sequence_);
    message.set_service("service-" + std::to_string(index % services));
    message.set_node(node_name(node));
    message.set_node_incarnation(node_incarnations_[node]);
    message.set_state(state);
    message.set_slots(7);
    return fact;
}

void fleet_model::fill(measured_node& node) {
    // Both nodes are filled with equal sequences, so that they start without a difference.
    sequence_ = 1;
    for (std::size_t i = 1; i < options_.nodes; ++i) {
        node.members().apply_synced_fact(node_fact(i, wire::NodeFact::ALIVE).node());
        for (std::size_t target = 0; target < options_.targets_per_node; ++target) {
            node.targets().apply(target_fact(i, target, wire::TargetFact::READY));
        }
    }
}

bool fleet_model::happens(double per_day) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < per_day / ticks_per_day;
}

void fleet_model::spread(const wire::Fact& fact, bool urgent, measured_node& partner) {
    const std::string subject = fact.has_node() ? "n:" + fact.node().name() : "t:" + fact.target().name();
    queue_.push(subject, fact.SerializeAsString());
    pushes_ = urgent ? pushes_per_fact : pushes_;
    if (fact.has_node()) {
        partner.members().apply_synced_fact(fact.node());
    } else {
        partner.targets().apply(fact);
    }
}

void fleet_model::replace_target(std::size_t node, std::size_t target, bool failed, measured_node& partner) {
    if (!failed) {
        spread(target_fact(node, target, wire::TargetFact::LEAVING), true, partner);
    }
    spread(target_fact(node, target, wire::TargetFact::GONE), true, partner);
    ++target_incarnations_[node * options_.targets_per_node + target];
    spread(target_fact(node, target, wire::TargetFact::STARTING), false, partner);
    spread(target_fact(node, target, wire::TargetFact::READY), false, partner);
}

void fleet_model::replace_node(std::size_t index, bool failed, measured_node& partner) {
    if (failed) {
        spread(node_fact(index, wire::NodeFact::SUSPECT), true, partner);
        spread(node_fact(index, wire::NodeFact::DEAD), true, partner);
    } else {
        spread(node_fact(index, wire::NodeFact::LEFT), true, partner);
    }
    ++node_incarnations_[index];
    spread(node_fact(index, wire::NodeFact::ALIVE), false, partner);
    for (std::size_t target = 0; target < options_.targets_per_node; ++target) {
        spread(target_fact(index, target, wire::TargetFact::READY), false, partner);
    }
}

void fleet_model::churn(measured_node& partner) {
    const double scale = static_cast<double>(options_.nodes) / nodes_at_full_size;
    for (const bool failed : {false, true}) {
        if (!happens(scale * (failed ? options_.failed_per_day : options_.replaced_per_day))) {
            continue;
        }
        // An instance is a node or one of its targets.
        const std::size_t node = 1 + random_() % (options_.nodes - 1);
        const std::size_t which = random_() % (options_.targets_per_node + 1);
        if (which == options_.targets_per_node) {
            replace_node(node, failed, partner);
        } else {
            replace_target(node, which, failed, partner);
        }
    }
    if (happens(options_.versions_per_day)) {
        ++version_;
        reported_ = 0;
    }
}

void fleet_model::report_versions() {
    const std::size_t last = std::min(options_.nodes, reported_ + options_.nodes / adoption_ticks + 1);
    for (; reported_ < last; ++reported_) {
        versions_.add_report(version_, identity_hash({node_name(reported_), node_incarnations_[reported_]}));
    }
}

void fleet_model::deliver(measured_node& node, wire::Datagram message) {
    if (message.from().empty()) {
        const std::size_t index = 1 + random_() % (options_.nodes - 1);
        message.set_from(node_name(index));
        message.set_from_incarnation(node_incarnations_[index]);
    }
    std::string payload = message.SerializeAsString();
    queue_.append_to(payload, datagram_limit, options_.nodes);
    versions_.append_to(payload, version_datagram_limit);
    node.count_datagram(payload.size());
    const membership_output output = node.timed([&] {
        return node.members().on_datagram({"10.1.0.1", 7401}, std::as_bytes(std::span(payload)));
    });
    for (const outgoing_datagram& datagram : output.datagrams) {
        node.count_datagram(datagram.payload.size());
    }
}

void fleet_model::answer(measured_node& node, const membership_output& output, measured_node& partner) {
    for (const outgoing_datagram& datagram : output.datagrams) {
        node.count_datagram(datagram.payload.size());
        wire::Datagram sent;
        if (sent.ParseFromString(datagram.payload) && sent.kind() == wire::Datagram::PING) {
            wire::Datagram ack;
            ack.set_from(sent.subject());
            ack.set_kind(wire::Datagram::ACK);
            ack.set_sequence(sent.sequence());
            deliver(node, ack);
        }
    }
    if (output.sync_peer.has_value()) {
        exchange(node, partner, node);
    }
}

void fleet_model::exchange(measured_node& from, measured_node& to, measured_node& counted) {
    const auto run = [&](measured_node& side, auto work) { return side.timed(work); };
    const std::string groups = run(from, [&] { return from.sync().groups_request(); });
    const auto leaves = run(to, [&] { return to.sync().answer_groups(groups); });
    counted.count_call(groups.size(), leaves->size());
    const auto request = run(from, [&] { return from.sync().facts_request(*leaves); });
    if (!request->has_value()) {
        return;
    }
    const auto facts = run(to, [&] { return to.sync().answer_facts(**request); });
    (void)run(from, [&] { return from.sync().merge(*facts); });
    counted.count_call((*request)->size(), facts->size());
}

void fleet_model::own_work(measured_node& node) {
    for (std::size_t target = 0; target < options_.targets_per_node; ++target) {
        const target_announcement renewal{{"own-" + std::to_string(target), 1},
                                          "service-" + std::to_string(target),
                                          7,
                                          announced_state::ready};
        const auto fact = node.timed([&] { return node.targets().announce(renewal); });
        if (fact.ok() && fact->has_value()) {
            (void)node.timed([&] { return node.members().gossip(**fact); });
        }
    }
}

void fleet_model::step(measured_node& node, measured_node& partner) {
    clock_.advance(tick);
    ++ticks_;
    churn(partner);
    report_versions();
    // The pushes of a fact come from nodes that learned it one after the other.
    if (pushes_ > 0) {
        --pushes_;
        wire::Datagram push;
        push.set_kind(wire::Datagram::GOSSIP);
        deliver(node, push);
    }
    // One round-robin probe and one ring probe reach each node in a second.
    if (ticks_ % (ticks_per_second / 2) == 0) {
        wire::Datagram ping;
        ping.set_sequence(ticks_);
        ping.set_subject(node.members().self().identity.name);
        deliver(node, ping);
    }
    if (ticks_ % ticks_per_second == 0) {
        own_work(node);
        (void)node.timed([&] {
            node.members().set_table_version(version_);
            return node.targets().on_tick();
        });
        (void)partner.targets().on_tick();
    }
    if (ticks_ % ticks_per_sync == 0) {
        exchange(partner, node, node);
    }
    answer(node, node.timed([&] { return node.members().on_tick(); }), partner);
}

void fleet_model::run(measured_node& node, measured_node& partner, std::chrono::seconds duration) {
    const auto steps = static_cast<std::uint64_t>(duration / tick);
    for (std::uint64_t i = 0; i < steps; ++i) {
        step(node, partner);
    }
}

}  // namespace teaselpitch
