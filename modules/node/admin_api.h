#pragma once

#include <functional>
#include <string>

#include "drivers/http/admin_server.h"
#include "modules/node/control_plane.h"
#include "modules/node/node_context.h"

namespace teaselpitch {

/// Handles the HTTP requests of the admin listener. Runs on the control thread.
class admin_api {
public:
    /// `request_drain` starts the graceful shutdown of the process.
    admin_api(node_context& context, control_plane& control, const node_platform& platform,
              std::function<void()> request_drain);

    awaitable<admin_response> handle(admin_request request);
    /// Handles a request of the readiness listener, which reports whether this node accepts callers.
    awaitable<admin_response> answer_readiness(admin_request request);

private:
    // Commands.
    admin_response handle_target_call(const admin_request& request, const absl::StatusOr<target_call>& call);
    admin_response handle_announcement(const admin_request& request);
    admin_response start_drain(const admin_request& request);

    // Queries.
    [[nodiscard]] admin_response show_status() const;
    [[nodiscard]] admin_response show_table() const;
    [[nodiscard]] admin_response show_decisions(const admin_request& request) const;
    [[nodiscard]] admin_response show_burn_report() const;
    [[nodiscard]] admin_response show_metrics() const;

    node_context& context_;
    control_plane& control_plane_;
    const node_platform& platform_;
    const std::function<void()> request_drain_;
};

}  // namespace teaselpitch
