#include "servers/membership/version_reports.h"

#include <algorithm>

namespace teaselpitch {
namespace {

// Maximum size in bytes of the tag, length, version, count and packed header of a report.
constexpr std::size_t report_overhead = 32;
constexpr std::size_t max_resent_hashes = 64;

}  // namespace

bool version_reports::add_report(std::uint64_t version, std::uint64_t node) {
    if (version > version_) {
        version_ = version;
        nodes_.clear();
        arrival_order_.clear();
        next_resend_ = 0;
        hashes_by_transmissions_.assign(transmissions_, {});
    }
    if (version == 0 || version < version_ || !nodes_.insert(node).second) {
        return false;
    }
    hashes_by_transmissions_.front().push_back(node);
    arrival_order_.push_back(node);
    return true;
}

void version_reports::resend_missing(std::uint64_t version, std::size_t peer_reports) {
    if (version != version_ || peer_reports >= nodes_.size() || !hashes_by_transmissions_.back().empty()) {
        return;
    }
    for (std::size_t i = 0; i < std::min(max_resent_hashes, arrival_order_.size()); ++i) {
        hashes_by_transmissions_.back().push_back(arrival_order_[next_resend_]);
        next_resend_ = (next_resend_ + 1) % arrival_order_.size();
    }
}

void version_reports::append_to(std::string& datagram, std::size_t limit) {
    if (version_ == 0 || datagram.size() + report_overhead + sizeof(std::uint64_t) > limit) {
        return;
    }
    std::size_t room = (limit - datagram.size() - report_overhead) / sizeof(std::uint64_t);
    wire::Datagram part;
    std::vector<std::pair<std::size_t, std::uint64_t>> sent;
    for (std::size_t times = 0; times < hashes_by_transmissions_.size() && room > 0; ++times) {
        std::vector<std::uint64_t>& nodes = hashes_by_transmissions_[times];
        while (!nodes.empty() && room > 0) {
            part.mutable_versions()->add_nodes(nodes.back());
            sent.emplace_back(times + 1, nodes.back());
            nodes.pop_back();
            --room;
        }
    }
    for (const auto& [times, node] : sent) {
        if (times < hashes_by_transmissions_.size()) {
            hashes_by_transmissions_[times].push_back(node);
        }
    }
    part.mutable_versions()->set_version(version_);
    part.mutable_versions()->set_known(static_cast<std::uint32_t>(nodes_.size()));
    part.AppendToString(&datagram);
}

}  // namespace teaselpitch
