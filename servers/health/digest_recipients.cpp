#include "servers/health/digest_recipients.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teaselpitch {

digest_recipients::digest_recipients(const time_source& clock, std::string local_zone, std::uint64_t seed,
                                     digest_recipient_options options)
    : clock_(clock), local_zone_(std::move(local_zone)), options_(options), random_(seed) {}

std::vector<endpoint> digest_recipients::choose(std::string_view service, std::span<const digest_gate> gates,
                                                digest_occasion occasion) {
    std::vector<endpoint> local;
    std::vector<endpoint> remote;
    for (const digest_gate& gate : gates) {
        (gate.zone == local_zone_ ? local : remote).push_back(gate.peer);
    }
    const bool suspicious = occasion == digest_occasion::suspicious_target;
    const std::size_t fanout = suspicious ? options_.suspicious_fanout : options_.periodic_fanout;
    std::vector<endpoint> chosen;
    std::sample(local.begin(), local.end(), std::back_inserter(chosen), fanout, random_);
    if (!suspicious || remote.empty() || local.size() >= options_.min_compared_targets) {
        return chosen;
    }
    const auto [last, first] = last_remote_.try_emplace(std::string(service), clock_.now());
    if (first || clock_.now() - last->second >= options_.remote_interval) {
        last->second = clock_.now();
        std::sample(remote.begin(), remote.end(), std::back_inserter(chosen),
                    options_.min_compared_targets - local.size(), random_);
    }
    return chosen;
}

}  // namespace teaselpitch
