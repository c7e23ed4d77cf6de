#include "servers/membership/version_reports.h"

#include <algorithm>

namespace teaselpitch {
namespace {

// Tag, length, version, count and packed header of the report, at most.
constexpr std::size_t report_overhead = 32;
constexpr std::size_t most_repeated = 64;

}  // namespace

bool version_reports::report(std::uint64_t version, std::uint64_t node) {
    if (version > version_) {
        version_ = version;
        nodes_.clear();
        arrived_.clear();
        next_repeat_ = 0;
        waiting_.assign(transmissions_, {});
    }
    if (version == 0 || version < version_ || !nodes_.insert(node).second) {
        return false;
    }
    waiting_.front().push_back(node);
    arrived_.push_back(node);
    return true;
}

void version_reports::compare(std::uint64_t version, std::size_t known) {
    if (version != version_ || known >= nodes_.size() || !waiting_.back().empty()) {
        return;
    }
    for (std::size_t i = 0; i < std::min(most_repeated, arrived_.size()); ++i) {
        waiting_.back().push_back(arrived_[next_repeat_]);
        next_repeat_ = (next_repeat_ + 1) % arrived_.size();
    }
}

void version_reports::append_to(std::string& datagram, std::size_t limit) {
    if (version_ == 0 || datagram.size() + report_overhead + sizeof(std::uint64_t) > limit) {
        return;
    }
    std::size_t room = (limit - datagram.size() - report_overhead) / sizeof(std::uint64_t);
    wire::Datagram part;
    std::vector<std::pair<std::size_t, std::uint64_t>> sent;
    for (std::size_t times = 0; times < waiting_.size() && room > 0; ++times) {
        std::vector<std::uint64_t>& nodes = waiting_[times];
        while (!nodes.empty() && room > 0) {
            part.mutable_versions()->add_nodes(nodes.back());
            sent.emplace_back(times + 1, nodes.back());
            nodes.pop_back();
            --room;
        }
    }
    for (const auto& [times, node] : sent) {
        if (times < waiting_.size()) {
            waiting_[times].push_back(node);
        }
    }
    part.mutable_versions()->set_version(version_);
    part.mutable_versions()->set_known(static_cast<std::uint32_t>(nodes_.size()));
    part.AppendToString(&datagram);
}

}  // namespace teaselpitch
