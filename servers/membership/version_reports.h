#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/wire/gossip.pb.h"

namespace teaselpitch {

/// The nodes that serve the newest known table version, as hashes that ride on datagrams. Reports about older
/// versions are dropped, because a node that serves a version serves every older one.
class version_reports {
public:
    explicit version_reports(std::size_t transmissions) : transmissions_(transmissions) {}

    /// Records that a node serves a version; true when that is news.
    bool report(std::uint64_t version, std::uint64_t node);

    /// Repeats some hashes to a peer that knows fewer nodes; their first transmissions may all have missed
    /// it.
    void compare(std::uint64_t version, std::size_t known);

    /// Appends a report as field `versions` of a serialised wire.Datagram, up to `limit` bytes in total.
    void append_to(std::string& datagram, std::size_t limit);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// The node is known to serve the newest version.
    [[nodiscard]] bool has(std::uint64_t node) const { return nodes_.contains(node); }

private:
    std::size_t transmissions_;
    std::uint64_t version_ = 0;
    std::unordered_set<std::uint64_t> nodes_;
    // The same hashes in the order of arrival, with the place of the next repetition.
    std::vector<std::uint64_t> arrived_;
    std::size_t next_repeat_ = 0;
    // Hashes by the number of times they were sent; the least sent go first.
    std::vector<std::vector<std::uint64_t>> waiting_;
};

}  // namespace teaselpitch
