#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/wire/gossip.pb.h"
#include "modules/node/node_context.h"
#include "servers/health/digest_recipients.h"
#include "servers/health/service_digest.h"

namespace teaselpitch {

/// A digest to send to a node that guards targets of the same service.
struct outgoing_digest {
    endpoint peer;
    wire::ServiceDigest digest;
};

/// Exchanges health summaries of the guarded targets with the other gates of their services, and updates the
/// baselines of the outlier detectors. Control thread only.
class health_exchange {
public:
    explicit health_exchange(node_context& context);

    // Commands.
    /// Returns the digests of all services to send now. Must be called every second.
    std::vector<outgoing_digest> on_second_tick();
    /// Returns the digests to send for services with a suspicious target. The responses of the other gates
    /// show whether the whole service became slower or only that target is faulty. Must be called every few
    /// milliseconds.
    std::vector<outgoing_digest> on_detection_tick();
    /// Applies another gate's digest and returns this node's digest of the same service. INVALID_ARGUMENT
    /// when the payload is malformed.
    absl::StatusOr<std::string> handle_digest(std::string_view payload);
    void apply_digest(const wire::ServiceDigest& digest);

private:
    struct service_entry {
        explicit service_entry(const time_source& clock) : digest(clock, digest_options{}) {}
        service_digest digest;
        steady_time last_urgent_at;  ///< Time of the latest digest for a suspicious target.
    };

    /// Passes the current baselines of one service to the outlier detectors of its targets.
    void update_baselines(const std::string& service);
    service_entry& service_entry_for(const std::string& service);
    wire::ServiceDigest make_local_digest(const std::string& service);
    [[nodiscard]] std::vector<digest_gate> other_gates(const std::string& service) const;
    void queue_digests(const std::string& service, digest_occasion occasion,
                       std::vector<outgoing_digest>& out);

    node_context& context_;
    std::map<std::string, std::unique_ptr<service_entry>> services_;
    std::uint64_t sequence_;
    digest_recipients recipients_;
};

}  // namespace teaselpitch
