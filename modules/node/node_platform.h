#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/statusor.h"
#include "drivers/http/admin_server.h"
#include "modules/node/configuration.h"
#include "modules/node/target_keeper.h"
#include "servers/exchange/http_dialect.h"
#include "servers/table/keyed_store.h"

namespace teaselpitch {

/// What a node needs to know about the platform that it runs on. The defaults are the project's own
/// interface: the table on the log, and targets that announce themselves at the admin listener.
struct node_platform {
    using call_counter = std::function<void(std::string_view call, unsigned status)>;

    http_dialect dialect;
    /// Connects to the store of the settings; null when the table is on the log.
    std::function<std::unique_ptr<keyed_store>(boost::asio::any_io_executor, const endpoint&, call_counter)>
        make_store = nullptr;
    configuration_source source;
    /// Reads a call of a target at the admin listener; empty when the request is none.
    std::function<std::optional<absl::StatusOr<target_call>>(const admin_request&)> read_target_call =
        nullptr;
    std::function<bool(const admin_request&)> is_readiness_question = nullptr;
};

}  // namespace teaselpitch
