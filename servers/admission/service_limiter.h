#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/admission/share_messages.h"

namespace teaselpitch {

/// The node's side of the concurrent requests of each service in this node's availability zone.
///
/// The nodes of the zone share the limit of the service's row as account_limiter shares rates, with the zone
/// as the owner of the key. A node without a valid grant may run one request, so that the zone
/// runs at most the limit plus one request for each node. Thread-safe; each call holds one lock briefly.
class service_limiter {
public:
    /// Concurrent requests of a service in this zone; 0 is no limit.
    using limit_hook = std::function<double(const limit_key&)>;

    service_limiter(const time_source& clock, const share_options& options, std::string availability_zone,
                    limit_hook limit_of);

    /// Takes a place for one request; each true needs one end().
    bool begin(std::string_view service);

    void end(std::string_view service);

    void on_grant(const share_grant& grant);

    /// The reports that are due; call it every 100 ms from one thread.
    std::vector<demand_report> on_tick();

    [[nodiscard]] std::uint32_t running(std::string_view service) const;

private:
    struct share {
        std::uint32_t running = 0;
        std::uint32_t peak = 0;     ///< Of running, since the last report.
        std::uint32_t refused = 0;  ///< Since the last report.
        double granted = 0;
        double demand = 0;
        steady_time granted_until{};
        steady_time reported_at{};
        std::uint64_t sequence = 0;
    };

    [[nodiscard]] std::uint32_t places(const share& entry, steady_time now) const;
    demand_report report_of(const std::string& service, share& entry, steady_time now) const;

    const time_source& clock_;
    const share_options options_;
    const std::string zone_;
    const limit_hook limit_of_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, share> shares_;  ///< Bounded by the services of the table.
};

}  // namespace teaselpitch
