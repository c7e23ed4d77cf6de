#include "main/bench_control/measured_node.h"

#include <ctime>
#include <utility>

namespace teaselpitch {
namespace {

// IPv4 and UDP headers of one datagram.
constexpr std::size_t datagram_header_bytes = 28;
// IPv4, TCP and HTTP/2 headers of a request and its answer, including acknowledgements.
constexpr std::size_t call_header_bytes = 300;
constexpr std::int64_t ns_per_s = 1'000'000'000;

}  // namespace

measured_node::measured_node(const time_source& clock, node_identity identity, std::uint64_t seed)
    : targets_(clock, identity, {}, {}) {
    membership_hooks hooks;
    hooks.on_change = [this](const member_change& change) {
        targets_.on_node_state(change.changed_member->identity, change.changed_member->running());
    };
    hooks.on_fact = [this](const wire::Fact& fact) { return targets_.apply(fact); };
    membership_local_node self;
    self.identity = std::move(identity);
    self.availability_zone = "z0";
    self.gossip = {"10.0.0.1", 1};
    self.peer = self.gossip;
    members_ = std::make_unique<membership>(clock, std::mt19937_64(seed), std::move(self),
                                            std::vector<endpoint>{}, membership_options{}, std::move(hooks));
    sync_ = std::make_unique<state_sync>(*members_, targets_);
}

std::int64_t measured_node::thread_cpu_ns() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return now.tv_sec * ns_per_s + now.tv_nsec;
}

void measured_node::count_datagram(std::size_t payload_bytes) {
    datagram_bytes_ += payload_bytes + datagram_header_bytes;
}

void measured_node::count_call(std::size_t request_bytes, std::size_t answer_bytes) {
    sync_bytes_ += request_bytes + answer_bytes + call_header_bytes;
}

void measured_node::reset_cost() {
    cpu_ns_ = 0;
    datagram_bytes_ = 0;
    sync_bytes_ = 0;
}

}  // namespace teaselpitch
