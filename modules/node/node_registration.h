#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "core/identity.h"
#include "servers/table/keyed_store.h"

namespace teaselpitch {

/// A node that is registered on the store.
struct registered_node {
    node_identity identity;
    endpoint peer;

    bool operator==(const registered_node&) const = default;
};

/// Returns the value of a node's registration record.
std::string encode_registration(const registered_node& node);

/// Parses a registration record; INVALID_ARGUMENT when it is malformed.
absl::StatusOr<registered_node> decode_registration(std::string_view name, std::string_view value);

/// Writes this node's registration record to the store and reads the first contacts from it. Afterwards the
/// nodes discover each other by probes and gossip, so an outage of the store does not affect the membership.
/// Control thread only.
class node_registration {
public:
    static constexpr std::string_view topic = "keyed.nodes";

    /// `on_found` is called with the registered nodes, except this one.
    node_registration(keyed_store& store, registered_node self,
                      std::function<void(std::vector<registered_node>)> on_found);

    /// Writes the own record and reads those of the other nodes twice. Retries with exponential backoff until
    /// this has succeeded.
    awaitable<void> join();
    /// Writes the own record again after the store was restored from an older copy. Starts after a random
    /// time of up to 5 s, so that the nodes of a large fleet do not all write at the same moment, and retries
    /// until this has succeeded or another restore has replaced this one.
    awaitable<void> rewrite();
    /// Deletes the registration record of a node that stops permanently.
    awaitable<void> leave();

private:
    awaitable<absl::Status> write();
    awaitable<absl::Status> read();

    keyed_store& store_;
    const registered_node self_;
    const std::function<void(std::vector<registered_node>)> on_found_;
    std::minstd_rand random_;
    std::uint64_t rewrites_ = 0;  ///< Number of the rewrite() in charge.
};

}  // namespace teaselpitch
