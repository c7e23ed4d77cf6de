#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/statusor.h"
#include "drivers/http/admin_server.h"
#include "modules/node/configuration.h"
#include "modules/node/target_manager.h"
#include "servers/exchange/http_dialect.h"
#include "servers/table/keyed_store.h"

namespace teaselpitch {

/// Interface of a node to the platform that it runs on. The defaults are the project's own interface: the
/// table is read from the log, and targets announce themselves at the admin listener.
struct node_platform {
    using store_call_counter = std::function<void(std::string_view call, unsigned status)>;

    http_dialect dialect;
    /// Creates a client of the store at the given address; null when the table is read from the log.
    std::function<std::unique_ptr<keyed_store>(boost::asio::any_io_executor, const endpoint&,
                                               store_call_counter)>
        make_store = nullptr;
    configuration_source source;
    /// Parses a target's call to the admin listener; returns an empty value for any other request.
    std::function<std::optional<absl::StatusOr<target_call>>(const admin_request&)> read_target_call =
        nullptr;
    std::function<bool(const admin_request&)> is_readiness_request = nullptr;
};

}  // namespace teaselpitch
