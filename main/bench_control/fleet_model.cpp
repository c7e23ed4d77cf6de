#include "main/bench_control/fleet_model.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds tick_interval{100};
constexpr std::uint64_t ticks_per_second = 10;
constexpr std::uint64_t ticks_per_sync = 100;
constexpr double ticks_per_day = 864'000;
constexpr double nodes_at_reference_size = 3200;
constexpr std::size_t service_count = 2800;
// Pushes that each node receives for an urgent fact: every node pushes it twice to three nodes.
constexpr std::size_t pushes_per_fact = 6;
// All nodes adopt a new table version within about 4 s.
constexpr std::size_t adoption_ticks = 40;
constexpr std::size_t max_datagram_bytes = 1400;
constexpr std::size_t max_version_datagram_bytes = 1100;

std::string node_name(std::size_t index) {
    return "node-" + std::to_string(index);
}

}  // namespace

fleet_model::fleet_model(manual_time_source& clock, fleet_options options)
    : clock_(clock),
      options_(options),
      random_(options.seed),
      gossip_queue_(membership_options{}.gossip),
      version_reports_(membership_options{}.version_transmissions),
      node_incarnations_(options.nodes, 1'700'000'000'000'000),
      target_incarnations_(options.nodes * options.targets_per_node, 1'700'000'000'000'000),
      reported_nodes_(options.nodes) {}

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
    message.set_service("service-" + std::to_string(index % service_count));
    message.set_node(node_name(node));
    message.set_node_incarnation(node_incarnations_[node]);
    message.set_state(state);
    message.set_slots(7);
    return fact;
}

void fleet_model::apply_fleet_state(measured_node& node) {
    // Restarts the sequence for each node, so that the measured node and its partner start with equal states.
    sequence_ = 1;
    for (std::size_t i = 1; i < options_.nodes; ++i) {
        node.members().apply_synced_fact(node_fact(i, wire::NodeFact::ALIVE).node());
        for (std::size_t target = 0; target < options_.targets_per_node; ++target) {
            node.targets().apply(target_fact(i, target, wire::TargetFact::READY));
        }
    }
}

bool fleet_model::draw_event(double per_day) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < per_day / ticks_per_day;
}

void fleet_model::gossip_fact(const wire::Fact& fact, bool urgent, measured_node& partner) {
    const std::string subject = fact.has_node() ? "n:" + fact.node().name() : "t:" + fact.target().name();
    gossip_queue_.push(subject, fact.SerializeAsString());
    remaining_pushes_ = urgent ? pushes_per_fact : remaining_pushes_;
    if (fact.has_node()) {
        partner.members().apply_synced_fact(fact.node());
    } else {
        partner.targets().apply(fact);
    }
}

void fleet_model::replace_target(std::size_t node, std::size_t target, bool failed, measured_node& partner) {
    if (!failed) {
        gossip_fact(target_fact(node, target, wire::TargetFact::LEAVING), true, partner);
    }
    gossip_fact(target_fact(node, target, wire::TargetFact::GONE), true, partner);
    ++target_incarnations_[node * options_.targets_per_node + target];
    gossip_fact(target_fact(node, target, wire::TargetFact::STARTING), false, partner);
    gossip_fact(target_fact(node, target, wire::TargetFact::READY), false, partner);
}

void fleet_model::replace_node(std::size_t index, bool failed, measured_node& partner) {
    if (failed) {
        gossip_fact(node_fact(index, wire::NodeFact::SUSPECT), true, partner);
        gossip_fact(node_fact(index, wire::NodeFact::DEAD), true, partner);
    } else {
        gossip_fact(node_fact(index, wire::NodeFact::LEFT), true, partner);
    }
    ++node_incarnations_[index];
    gossip_fact(node_fact(index, wire::NodeFact::ALIVE), false, partner);
    for (std::size_t target = 0; target < options_.targets_per_node; ++target) {
        gossip_fact(target_fact(index, target, wire::TargetFact::READY), false, partner);
    }
}

void fleet_model::simulate_churn(measured_node& partner) {
    const double scale = static_cast<double>(options_.nodes) / nodes_at_reference_size;
    for (const bool failed : {false, true}) {
        if (!draw_event(scale * (failed ? options_.failed_per_day : options_.replaced_per_day))) {
            continue;
        }
        // An instance is either a node or one of its targets.
        const std::size_t node = 1 + random_() % (options_.nodes - 1);
        const std::size_t instance_index = random_() % (options_.targets_per_node + 1);
        if (instance_index == options_.targets_per_node) {
            replace_node(node, failed, partner);
        } else {
            replace_target(node, instance_index, failed, partner);
        }
    }
    if (draw_event(options_.versions_per_day)) {
        ++version_;
        reported_nodes_ = 0;
    }
}

void fleet_model::report_versions() {
    const std::size_t last = std::min(options_.nodes, reported_nodes_ + options_.nodes / adoption_ticks + 1);
    for (; reported_nodes_ < last; ++reported_nodes_) {
        version_reports_.add_report(
            version_, identity_hash({node_name(reported_nodes_), node_incarnations_[reported_nodes_]}));
    }
}

void fleet_model::deliver(measured_node& node, wire::Datagram message) {
    if (message.from().empty()) {
        const std::size_t index = 1 + random_() % (options_.nodes - 1);
        message.set_from(node_name(index));
        message.set_from_incarnation(node_incarnations_[index]);
    }
    std::string payload = message.SerializeAsString();
    gossip_queue_.append_to(payload, max_datagram_bytes, options_.nodes);
    version_reports_.append_to(payload, max_version_datagram_bytes);
    node.count_datagram(payload.size());
    const membership_output output = node.run_timed([&] {
        return node.members().on_datagram({"10.1.0.1", 7401}, std::as_bytes(std::span(payload)));
    });
    for (const outgoing_datagram& datagram : output.datagrams) {
        node.count_datagram(datagram.payload.size());
    }
}

void fleet_model::handle_output(measured_node& node, const membership_output& output,
                                measured_node& partner) {
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
        run_anti_entropy(node, partner, node);
    }
}

void fleet_model::run_anti_entropy(measured_node& from, measured_node& to, measured_node& counted) {
    const auto run = [&](measured_node& side, auto work) { return side.run_timed(work); };
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

void fleet_model::run_local_work(measured_node& node) {
    for (std::size_t target = 0; target < options_.targets_per_node; ++target) {
        const target_announcement renewal{{"own-" + std::to_string(target), 1},
                                          "service-" + std::to_string(target),
                                          7,
                                          announced_state::ready};
        const auto fact = node.run_timed([&] { return node.targets().announce(renewal); });
        if (fact.ok() && fact->has_value()) {
            (void)node.run_timed([&] { return node.members().gossip(**fact); });
        }
    }
}

void fleet_model::step(measured_node& node, measured_node& partner) {
    clock_.advance(tick_interval);
    ++ticks_;
    simulate_churn(partner);
    report_versions();
    // The pushes of a fact arrive one per tick, because the nodes that send them receive the fact at
    // different times.
    if (remaining_pushes_ > 0) {
        --remaining_pushes_;
        wire::Datagram push;
        push.set_kind(wire::Datagram::GOSSIP);
        deliver(node, push);
    }
    // Each node receives one round-robin probe and one ring probe per second.
    if (ticks_ % (ticks_per_second / 2) == 0) {
        wire::Datagram ping;
        ping.set_sequence(ticks_);
        ping.set_subject(node.members().self().identity.name);
        deliver(node, ping);
    }
    if (ticks_ % ticks_per_second == 0) {
        run_local_work(node);
        (void)node.run_timed([&] {
            (void)node.members().set_table_version(version_);
            return node.targets().on_tick();
        });
        (void)partner.targets().on_tick();
    }
    if (ticks_ % ticks_per_sync == 0) {
        run_anti_entropy(partner, node, node);
    }
    handle_output(node, node.run_timed([&] { return node.members().on_tick(); }), partner);
}

void fleet_model::run(measured_node& node, measured_node& partner, std::chrono::seconds duration) {
    const auto steps = static_cast<std::uint64_t>(duration / tick_interval);
    for (std::uint64_t i = 0; i < steps; ++i) {
        step(node, partner);
    }
}

}  // namespace teaselpitch
