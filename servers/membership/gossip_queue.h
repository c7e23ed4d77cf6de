#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace teaselpitch {

/// Facts that wait to be piggybacked on datagrams. A newer fact about a subject replaces the older one. The
/// facts that were sent least often go first, the newest of them before older ones.
class gossip_queue {
public:
    /// A fact is sent at most multiplier * ceil(log2(nodes + 1)) times.
    explicit gossip_queue(std::size_t multiplier) : multiplier_(multiplier) {}

    /// Queues the serialised wire.Fact about a subject.
    void push(std::string_view subject, std::string fact);

    /// Appends facts as field `facts` of a serialised wire.Datagram, up to `limit` bytes in total, and drops
    /// those that were sent often enough for this number of nodes.
    void append_to(std::string& datagram, std::size_t limit, std::size_t nodes);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t transmissions(std::size_t nodes) const;

private:
    // Orders by transmissions, then newest first.
    using rank = std::pair<std::size_t, std::uint64_t>;
    struct entry {
        std::string subject;
        std::string fact;
    };

    std::size_t multiplier_;
    // Counts down, so that a newer entry has a lower rank.
    std::uint64_t next_ = ~std::uint64_t{0};
    std::map<rank, entry> entries_;
    std::unordered_map<std::string, rank> by_subject_;
};

}  // namespace teaselpitch
