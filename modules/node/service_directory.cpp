#include "modules/node/service_directory.h"

#include <utility>

namespace teaselpitch {

service_directory::service_directory(const time_source& clock, chooser_options options, retry_options retries,
                                     decision_log& decisions,
                                     std::function<void(const std::string&)> shares_changed)
    : clock_(clock),
      options_(std::move(options)),
      retries_(retries),
      decisions_(decisions),
      shares_changed_(std::move(shares_changed)),
      routers_(std::make_shared<const router_map>()) {}

service_router& service_directory::router(const std::string& service) {
    if (const std::shared_ptr<service_router> known = find(service)) {
        return *known;
    }
    auto created = std::make_shared<service_router>(
        clock_, service, options_, seed_source_(), decisions_, [this, service] { shares_changed_(service); },
        retries_);
    const auto routers = routers_.read();
    auto next = std::make_shared<router_map>(*routers);
    next->emplace(service, created);
    routers_.update(std::move(next));
    return *created;
}

void service_directory::on_tick() {
    const auto routers = routers_.read();
    for (const auto& [service, router] : *routers) {
        router->on_tick();
    }
}

std::shared_ptr<service_router> service_directory::find(std::string_view service) const {
    const auto routers = routers_.read();
    const auto found = routers->find(service);
    return found == routers->end() ? nullptr : found->second;
}

}  // namespace teaselpitch
