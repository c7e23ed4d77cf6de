#include "modules/node/peer_entry.h"

#include <utility>

namespace teaselpitch {

peer_entry::peer_entry(node_context& context, exchange_handler& own, forwarder forward)
    : context_(context), own_(own), forward_(std::move(forward)) {}

awaitable<exchange_result> peer_entry::exchange(const request_head& head, body_reader& body,
                                                response_writer& writer) {
    const std::optional<endpoint> hop = next_hop(head);
    if (!hop) {
        co_return co_await own_.exchange(head, body, writer);
    }
    request_head onwards = head;
    // The count is what stops a request that two nodes with different views would pass around.
    ++onwards.detours;
    co_return co_await forward_(*hop, onwards, body, writer);
}

std::optional<endpoint> peer_entry::next_hop(const request_head& head) const {
    constexpr std::uint32_t asked_for_detour = 1;
    if (head.detours != asked_for_detour || context_.targets.find(head.target.name)) {
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
