#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/membership/membership.h"
#include "servers/membership/state_sync.h"
#include "servers/membership/target_registry.h"

namespace teaselpitch {

/// Membership, target registry and anti-entropy of one node, connected as in the node program. Accumulates
/// the CPU time and the traffic that they cost.
class measured_node {
public:
    measured_node(const time_source& clock, node_identity identity, std::uint64_t seed);

    /// Runs a piece of the node's work, adds its CPU time to the cost and returns its result.
    template <typename Work>
    auto run_timed(Work&& work) {
        const std::int64_t begin = thread_cpu_ns();
        auto result = work();
        cpu_ns_ += thread_cpu_ns() - begin;
        return result;
    }

    /// Adds the payload and header bytes of one sent or received datagram.
    void count_datagram(std::size_t payload_bytes);
    /// Adds the bytes of one control call, including its IPv4, TCP and HTTP/2 headers.
    void count_call(std::size_t request_bytes, std::size_t answer_bytes);
    void reset_cost();

    [[nodiscard]] std::int64_t cpu_ns() const { return cpu_ns_; }
    [[nodiscard]] std::uint64_t datagram_bytes() const { return datagram_bytes_; }
    [[nodiscard]] std::uint64_t sync_bytes() const { return sync_bytes_; }

    membership& members() { return *members_; }
    target_registry& targets() { return targets_; }
    state_sync& sync() { return *sync_; }

private:
    static std::int64_t thread_cpu_ns();

    target_registry targets_;
    std::unique_ptr<membership> members_;
    std::unique_ptr<state_sync> sync_;
    std::int64_t cpu_ns_ = 0;
    std::uint64_t datagram_bytes_ = 0;
    std::uint64_t sync_bytes_ = 0;
};

}  // namespace teaselpitch
