#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/identity.h"
#include "servers/table/keyed_store.h"

namespace teaselpitch {

/// A node as it is found on the store.
struct registered_node {
    node_identity identity;
    endpoint peer;

    bool operator==(const registered_node&) const = default;
};

/// The value of a node's record.
std::string encode_registration(const registered_node& node);

/// Reads a record; INVALID_ARGUMENT when it names no node.
absl::StatusOr<registered_node> decode_registration(std::string_view name, std::string_view value);

/// Keeps this node's record on the store and finds the first contacts there. After that the nodes know each
/// other by their own probes and gossip, so that an outage of the store changes nothing between them. Control
/// thread only.
class node_registration {
public:
    static constexpr std::string_view topic = "keyed.nodes";

    /// `found` is called with the nodes of the store, this one excluded.
    node_registration(keyed_store& store, registered_node self,
                      std::function<void(std::vector<registered_node>)> found);

    /// Writes the record and reads the others; repeats until both succeeded.
    awaitable<void> join();
    /// Drops the record of a node that stops for good.
    awaitable<void> leave();

private:
    awaitable<absl::Status> write();
    awaitable<absl::Status> read();

    keyed_store& store_;
    const registered_node self_;
    const std::function<void(std::vector<registered_node>)> found_;
};

}  // namespace teaselpitch
