#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/wire/gossip.pb.h"

namespace teaselpitch {

/// Nodes that serve the newest known table version, as hashes that are piggybacked on datagrams. Reports
/// about older versions are dropped, because a node that serves a version counts as serving every older one.
class version_reports {
public:
    explicit version_reports(std::size_t transmissions) : transmissions_(transmissions) {}

    /// Records that a node serves a version; returns true when the report is new.
    bool add_report(std::uint64_t version, std::uint64_t node);

    /// Sends some hashes again when a peer has fewer reports about this version, because every earlier
    /// transmission of them may have missed the peer.
    void resend_missing(std::uint64_t version, std::size_t peer_reports);

    /// Appends a report as field `versions` to a serialised wire.Datagram, whose size stays within `limit`
    /// bytes.
    void append_to(std::string& datagram, std::size_t limit);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Returns whether a report says that the node serves the newest version.
    [[nodiscard]] bool serves_newest(std::uint64_t node) const { return nodes_.contains(node); }

private:
    std::size_t transmissions_;
    std::uint64_t version_ = 0;
    std::unordered_set<std::uint64_t> nodes_;
    // The same hashes in order of arrival, with the index of the next one to send again.
    std::vector<std::uint64_t> arrival_order_;
    std::size_t next_resend_ = 0;
    // Hashes indexed by their number of transmissions; those sent least often are sent first.
    std::vector<std::vector<std::uint64_t>> hashes_by_transmissions_;
};

}  // namespace teaselpitch
