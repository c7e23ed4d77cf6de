#pragma once

#include <span>
#include <string>

#include "modules/node/node_context.h"
#include "modules/proxy/ingress.h"

namespace teaselpitch {

/// Makes the routing decisions of the ingress from the shared state of the node.
class request_router {
public:
    explicit request_router(node_context& context) : context_(context) {}

    // Queries.
    [[nodiscard]] refusal check_ready() const;
    [[nodiscard]] std::optional<route_decision> find_route(const request_head& head) const;

    // Commands.
    /// Finds the account of a request by its key in the configuration in force. Refuses a request without a
    /// known key when the configuration has accounts and the route is not public, and all keys when the node
    /// fails closed.
    refusal check_account(const request_head& received, const route_decision& route, request_head& head);
    /// Refuses a request that arrives too late in a planned stop to be finished.
    [[nodiscard]] refusal admit_while_stopping(const request_head& head) const;
    /// Checks the quarantine and the account's rate limit.
    refusal admit(const request_head& head);
    choice_or_refusal<route_choice> choose(const request_head& head, std::span<const std::string> tried);
    bool may_retry(const request_head& head, const exchange_result& result, std::uint32_t attempts);
    void attempt_ended(const attempt_report& report);
    void exchange_ended(const ingress_report& report);

private:
    /// Learns from the run and from the time on the way of a successful attempt.
    void apply_cost(const attempt_report& report, service_router& router);
    void assess_path(const attempt_report& report, service_router& router);
    void log_request(const ingress_report& report);
    void record_request(const ingress_report& report);

    node_context& context_;
};

}  // namespace teaselpitch
