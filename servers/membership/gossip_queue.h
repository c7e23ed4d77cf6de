#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace teaselpitch {

/// How surely a fact must reach every node by gossip alone.
enum class fact_urgency : std::uint8_t {
    ordinary,  ///< The exchange of the full state may bring it to a node that gossip missed.
    urgent,    ///< Every node must hear of it within seconds: a node or a target leaves, dies or refutes it.
};

/// Times that a fact is sent for each doubling of the number of nodes.
struct gossip_multipliers {
    std::size_t ordinary = 1;
    std::size_t urgent = 3;
};

/// Facts that wait to be piggybacked on datagrams. A newer fact about a subject replaces the older one. The
/// facts that were sent least often go first, the newest of them before older ones.
class gossip_queue {
public:
    /// A fact is sent at most multiplier * ceil(log2(nodes + 1)) times.
    explicit gossip_queue(const gossip_multipliers& multipliers) : multipliers_(multipliers) {}

    /// Queues the serialised wire.Fact about a subject.
    void push(std::string_view subject, std::string fact, fact_urgency urgency = fact_urgency::ordinary);

    /// Appends facts as field `facts` of a serialised wire.Datagram, up to `limit` bytes in total, and drops
    /// those that were sent often enough for this number of nodes.
    void append_to(std::string& datagram, std::size_t limit, std::size_t nodes);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t transmissions(std::size_t nodes,
                                            fact_urgency urgency = fact_urgency::ordinary) const;

private:
    // Orders by transmissions, then newest first.
    using rank = std::pair<std::size_t, std::uint64_t>;
    struct entry {
        std::string subject;
        std::string fact;
        fact_urgency urgency = fact_urgency::ordinary;
    };

    gossip_multipliers multipliers_;
    // Counts down, so that a newer entry has a lower rank.
    std::uint64_t next_ = ~std::uint64_t{0};
    std::map<rank, entry> entries_;
    std::unordered_map<std::string, rank> by_subject_;
};

}  // namespace teaselpitch
