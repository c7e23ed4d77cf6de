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

/// Limits the concurrent requests of each service in the availability zone of this node.
///
/// The nodes of the zone divide the limit of the service in the same way as account_limiter divides rates,
/// with the zone as the owner of the key. A node without a valid grant may run one request, so the zone runs
/// at most the limit plus one request per node. Thread-safe; each call holds one lock briefly.
class service_limiter {
public:
    /// Returns the maximum number of concurrent requests of a service in this zone; 0 means no limit.
    using limit_lookup = std::function<double(const limit_key&)>;

    service_limiter(const time_source& clock, const share_options& options, std::string availability_zone,
                    limit_lookup lookup_limit);

    /// Reserves capacity for one request. Each successful call must be followed by one release().
    bool try_acquire(std::string_view service);

    void release(std::string_view service);

    void on_grant(const share_grant& grant);

    /// Returns the reports that are due. Must be called every 100 ms from one thread.
    std::vector<demand_report> on_tick();

    [[nodiscard]] std::uint32_t running_count(std::string_view service) const;

private:
    struct service_share {
        std::uint32_t running = 0;
        std::uint32_t peak_running = 0;  ///< Maximum of running since the last report.
        std::uint32_t refused = 0;       ///< Since the last report.
        double granted = 0;
        double demand = 0;
        steady_time granted_until{};
        steady_time reported_at{};
        std::uint64_t sequence = 0;
    };

    [[nodiscard]] std::uint32_t max_concurrent(const service_share& entry, steady_time now) const;
    demand_report make_report(const std::string& service, service_share& entry, steady_time now) const;

    const time_source& clock_;
    const share_options options_;
    const std::string zone_;
    const limit_lookup lookup_limit_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, service_share>
        shares_;  ///< Bounded by the number of services in the table.
};

}  // namespace teaselpitch
