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

/// Membership, registry and anti-entropy of one node, wired as in the node program, with its cost.
class measured_node {
public:
    measured_node(const time_source& clock, node_identity identity, std::uint64_t seed);

    /// Runs a step of the node's own work and adds its CPU time.
    template <typename Work>
    auto timed(Work&& work) {
        const std::int64_t begin = thread_cpu_ns();
        auto result = work();
        cpu_ns_ += thread_cpu_ns() - begin;
        return result;
    }

    /// Adds the payload and header bytes of one datagram, either way.
    void count_datagram(std::size_t payload);
    /// Adds the bytes of one control call with its HTTP/2 and TCP headers.
    void count_call(std::size_t request, std::size_t answer);
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
