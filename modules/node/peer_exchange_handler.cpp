#include "modules/node/peer_exchange_handler.h"

#include <utility>

namespace teaselpitch {

peer_exchange_handler::peer_exchange_handler(node_context& context, exchange_handler& local_handler,
                                             forwarder forward)
    : context_(context), local_handler_(local_handler), forward_(std::move(forward)) {}

awaitable<exchange_result> peer_exchange_handler::exchange(const request_head& head, body_reader& body,
                                                           response_writer& writer) {
    const std::optional<endpoint> hop = next_hop(head);
    if (!hop) {
        co_return co_await local_handler_.exchange(head, body, writer);
    }
    request_head forwarded = head;
    // The count prevents a forwarding loop between two nodes with different membership views.
    ++forwarded.detours;
    co_return co_await forward_(*hop, forwarded, body, writer);
}

std::optional<endpoint> peer_exchange_handler::next_hop(const request_head& head) const {
    constexpr std::uint32_t detour_requested = 1;
    if (head.detours != detour_requested || context_.targets.find(head.target.name)) {
        return std::nullopt;
    }
    const auto router = context_.services.find(head.service);
    const std::string node = router ? router->node_of(head.target.name) : std::string();
    const auto nodes = context_.nodes.read();
    const auto address = nodes->find(node);
    if (address == nodes->end() || node == context_.self.name) {
        return std::nullopt;
    }
    return address->second.peer;
}

}  // namespace teaselpitch
