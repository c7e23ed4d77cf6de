#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace teaselpitch {

/// Delivery requirement of a fact. Selects how often gossip retransmits it.
enum class fact_urgency : std::uint8_t {
    ordinary,  ///< A node that gossip missed may receive it from the full state exchange.
    urgent,  ///< Must reach every node within seconds: a departure, death or refutation of a node or target.
};

/// Number of times that a fact is sent for each doubling of the number of nodes.
struct gossip_multipliers {
    std::size_t ordinary = 1;
    std::size_t urgent = 3;
};

/// Queue of facts to piggyback on datagrams. A newer fact about a subject replaces the older one. Facts that
/// were sent least often are sent first; among these, newer facts precede older ones.
class gossip_queue {
public:
    /// A fact is sent at most multiplier * ceil(log2(nodes + 1)) times.
    explicit gossip_queue(const gossip_multipliers& multipliers) : multipliers_(multipliers) {}

    /// Queues a serialised wire.Fact and replaces the queued fact about the same subject.
    void push(std::string_view subject, std::string fact, fact_urgency urgency = fact_urgency::ordinary);

    /// Appends facts as field `facts` to a serialised wire.Datagram, whose size stays within `limit` bytes.
    /// Removes facts that reached their number of transmissions for a fleet of this many nodes.
    void append_to(std::string& datagram, std::size_t limit, std::size_t nodes);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// Number of times that a fact is sent in a fleet of this many nodes.
    [[nodiscard]] std::size_t transmissions(std::size_t nodes,
                                            fact_urgency urgency = fact_urgency::ordinary) const;

private:
    // Number of transmissions, then the order of insertion, newest first.
    using rank = std::pair<std::size_t, std::uint64_t>;
    struct entry {
        std::string subject;
        std::string fact;
        fact_urgency urgency = fact_urgency::ordinary;
    };

    gossip_multipliers multipliers_;
    // Decreases with each insertion, so that a newer entry has a lower rank.
    std::uint64_t next_order_ = ~std::uint64_t{0};
    std::map<rank, entry> entries_;
    std::unordered_map<std::string, rank> by_subject_;
};

}  // namespace teaselpitch
