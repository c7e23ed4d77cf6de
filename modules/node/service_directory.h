#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "modules/node/service_router.h"

namespace teaselpitch {

/// Routers of all services that have targets or table rows. Lookups take no lock.
class service_directory {
public:
    using router_map = name_map<std::shared_ptr<service_router>>;

    /// `shares_changed` is called, on any thread, when the traffic shares of a service have changed.
    service_directory(const time_source& clock, chooser_options options, retry_options retries,
                      decision_log& decisions,
                      std::function<void(const std::string& service)> shares_changed);

    // Commands for the control thread.
    /// Returns the router of a service; creates it when there is none.
    service_router& router(const std::string& service);
    void on_tick();

    // Queries for any thread.
    [[nodiscard]] std::shared_ptr<service_router> find(std::string_view service) const;
    [[nodiscard]] rcu_snapshot<router_map> all() const { return routers_.read(); }

private:
    const time_source& clock_;
    const chooser_options options_;
    const retry_options retries_;
    decision_log& decisions_;
    const std::function<void(const std::string&)> shares_changed_;
    std::random_device seed_source_;
    rcu_cell<router_map> routers_;
};

}  // namespace teaselpitch
