#include "modules/node/health_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds urgent_interval{100};

target_summary from_wire(const wire::TargetDigest& message) {
    return {.target = message.target(),
            .requests = message.requests(),
            .failures = message.failures(),
            .mean_log_latency = message.mean_log_latency(),
            .log_latency_deviation = message.log_latency_deviation()};
}

void to_wire(const target_summary& summary, wire::TargetDigest& message) {
    message.set_target(summary.target);
    message.set_requests(summary.requests);
    message.set_failures(summary.failures);
    message.set_mean_log_latency(summary.mean_log_latency);
    message.set_log_latency_deviation(summary.log_latency_deviation);
}

}  // namespace

health_exchange::health_exchange(node_context& context)
    // The sequence starts at the incarnation, so that other nodes do not discard the digests of a restarted
    // node as old.
    : context_(context),
      sequence_(context.self.incarnation),
      recipients_(context.clock, context.settings.availability_zone, context.self.incarnation) {}

std::vector<outgoing_digest> health_exchange::on_second_tick() {
    std::set<std::string> services;
    for (const auto& target : context_.targets.all()) {
        services.insert(target->guarded().service());
    }
    std::vector<outgoing_digest> out;
    for (const std::string& service : services) {
        queue_digests(service, digest_occasion::periodic, out);
    }
    for (auto& [service, entry] : services_) {
        entry->digest.on_tick();
    }
    return out;
}

std::vector<outgoing_digest> health_exchange::on_detection_tick() {
    std::vector<outgoing_digest> out;
    for (const auto& target : context_.targets.all()) {
        if (!target->outlier_detector().is_suspicious()) {
            continue;
        }
        service_entry& entry = service_entry_for(target->guarded().service());
        if (context_.clock.now() - entry.last_urgent_at < urgent_interval) {
            continue;
        }
        entry.last_urgent_at = context_.clock.now();
        queue_digests(target->guarded().service(), digest_occasion::suspicious_target, out);
    }
    return out;
}

absl::StatusOr<std::string> health_exchange::handle_digest(std::string_view payload) {
    wire::ServiceDigest digest;
    if (!digest.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return absl::InvalidArgumentError("the payload is not a valid service digest");
    }
    apply_digest(digest);
    return make_local_digest(digest.service()).SerializeAsString();
}

void health_exchange::apply_digest(const wire::ServiceDigest& digest) {
    std::vector<target_summary> summaries;
    for (const wire::TargetDigest& message : digest.targets()) {
        summaries.push_back(from_wire(message));
    }
    service_entry_for(digest.service())
        .digest.on_summaries(digest.origin_node(), digest.sequence(), summaries);
    update_baselines(digest.service());
}

void health_exchange::update_baselines(const std::string& service) {
    const service_digest& digest = service_entry_for(service).digest;
    for (const auto& target : context_.targets.all()) {
        if (target->guarded().service() == service) {
            target->outlier_detector().on_baseline(
                digest.baseline_excluding(target->guarded().identity().name));
        }
    }
}

health_exchange::service_entry& health_exchange::service_entry_for(const std::string& service) {
    std::unique_ptr<service_entry>& entry = services_[service];
    if (!entry) {
        entry = std::make_unique<service_entry>(context_.clock);
    }
    return *entry;
}

wire::ServiceDigest health_exchange::make_local_digest(const std::string& service) {
    wire::ServiceDigest digest;
    digest.set_service(service);
    digest.set_origin_node(context_.self.name);
    digest.set_sequence(++sequence_);
    for (const auto& target : context_.targets.all()) {
        if (target->guarded().service() == service) {
            to_wire(target->outlier_detector().summary(), *digest.add_targets());
        }
    }
    return digest;
}

std::vector<digest_gate> health_exchange::other_gates(const std::string& service) const {
    const auto router = context_.services.find(service);
    if (!router) {
        return {};
    }
    const auto nodes = context_.nodes.read();
    std::map<endpoint, std::string> zones;
    for (const registered_target& target : router->targets()) {
        const auto node = nodes->find(target.node);
        if (target.node != context_.self.name && node != nodes->end()) {
            zones.emplace(node->second.peer, node->second.zone);
        }
    }
    std::vector<digest_gate> gates;
    gates.reserve(zones.size());
    for (auto& [peer, zone] : zones) {
        gates.push_back({peer, std::move(zone)});
    }
    return gates;
}

void health_exchange::queue_digests(const std::string& service, digest_occasion occasion,
                                    std::vector<outgoing_digest>& out) {
    const wire::ServiceDigest digest = make_local_digest(service);
    apply_digest(digest);
    for (const endpoint& gate : recipients_.choose(service, other_gates(service), occasion)) {
        out.push_back({gate, digest});
    }
}

}  // namespace teaselpitch
