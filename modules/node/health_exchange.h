#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/wire/gossip.pb.h"
#include "modules/node/node_context.h"
#include "servers/health/service_digest.h"

namespace teaselpitch {

/// A digest to send to the nodes that guard targets of the same service.
struct outgoing_digest {
    endpoint peer;
    wire::ServiceDigest digest;
};

/// Exchanges summaries of the guarded targets with the other gates of their services and keeps the baselines
/// of the judges. Control thread only.
class health_exchange {
public:
    /// Gates that get a digest each second; a small sample is enough for a median of the others.
    static constexpr std::size_t fanout = 4;

    explicit health_exchange(node_context& context);

    // Commands.
    /// The digests of all services to send now; called each second.
    std::vector<outgoing_digest> on_second();
    /// Digests of targets that just became suspicious, because the others' answers tell a general slow-down
    /// from a fault of one target; called every few milliseconds.
    std::vector<outgoing_digest> on_judge_tick();
    /// Takes another gate's digest and returns the own one of that service.
    absl::StatusOr<std::string> answer(std::string_view payload);
    void take(const wire::ServiceDigest& digest);

private:
    struct service_entry {
        explicit service_entry(const time_source& clock) : digest(clock, digest_options{}) {}
        service_digest digest;
        steady_time urgent_at;  ///< When a suspicious digest was sent last.
    };

    /// Hands the current baselines of one service to the judges of its targets.
    void update_baselines(const std::string& service);
    service_entry& entry_of(const std::string& service);
    wire::ServiceDigest own_digest(const std::string& service);
    std::vector<endpoint> gates_of(const std::string& service, std::size_t limit);
    void send_service(const std::string& service, std::size_t limit, std::vector<outgoing_digest>& out);

    node_context& context_;
    std::map<std::string, std::unique_ptr<service_entry>> services_;
    std::uint64_t sequence_;
    std::mt19937_64 random_;
};

}  // namespace teaselpitch
