#pragma once

#include <functional>

#include "modules/node/node_context.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Handles the exchanges that other nodes send. Passes them to the local handler, or forwards them once to
/// the node of the target when the sender cannot reach that node directly.
class peer_exchange_handler final : public exchange_handler {
public:
    using forwarder = std::function<awaitable<exchange_result>(const endpoint&, const request_head&,
                                                               body_reader&, response_writer&)>;

    peer_exchange_handler(node_context& context, exchange_handler& local_handler, forwarder forward);

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

private:
    [[nodiscard]] std::optional<endpoint> next_hop(const request_head& head) const;

    node_context& context_;
    exchange_handler& local_handler_;
    const forwarder forward_;
};

}  // namespace teaselpitch
