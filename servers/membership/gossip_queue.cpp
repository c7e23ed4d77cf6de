#include "servers/membership/gossip_queue.h"

#include <bit>
#include <vector>

namespace teaselpitch {
namespace {

// Field 6 with wire type 2 of wire.Datagram.
constexpr char facts_field_tag = 0x32;
constexpr std::size_t max_one_byte_length = 127;
// Number of entries that may be skipped because they do not fit. Bounds the work for one datagram.
constexpr std::size_t max_skipped_facts = 8;

void append_fact(std::string& datagram, const std::string& fact) {
    datagram.push_back(facts_field_tag);
    std::size_t length = fact.size();
    while (length > max_one_byte_length) {
        datagram.push_back(static_cast<char>((length & max_one_byte_length) | 0x80U));
        length >>= 7U;
    }
    datagram.push_back(static_cast<char>(length));
    datagram.append(fact);
}

std::size_t encoded_size(const std::string& fact) {
    return 1 + (fact.size() > max_one_byte_length ? 2 : 1) + fact.size();
}

}  // namespace

void gossip_queue::push(std::string_view subject, std::string fact, fact_urgency urgency) {
    const rank order{0, next_order_--};
    const auto [position, added] = by_subject_.try_emplace(std::string(subject), order);
    if (!added) {
        entries_.erase(position->second);
        position->second = order;
    }
    entries_.emplace(order, entry{std::string(subject), std::move(fact), urgency});
}

std::size_t gossip_queue::transmissions(std::size_t nodes, fact_urgency urgency) const {
    const std::size_t multiplier =
        urgency == fact_urgency::urgent ? multipliers_.urgent : multipliers_.ordinary;
    return multiplier * static_cast<std::size_t>(std::bit_width(nodes));
}

void gossip_queue::append_to(std::string& datagram, std::size_t limit, std::size_t nodes) {
    std::vector<rank> sent;
    std::size_t skipped = 0;
    for (const auto& [order, item] : entries_) {
        if (datagram.size() + encoded_size(item.fact) <= limit) {
            append_fact(datagram, item.fact);
            sent.push_back(order);
        } else if (++skipped > max_skipped_facts) {
            break;
        }
    }
    for (const rank& order : sent) {
        auto item = entries_.extract(order);
        const rank next{order.first + 1, order.second};
        if (next.first >= transmissions(nodes, item.mapped().urgency)) {
            by_subject_.erase(item.mapped().subject);
            continue;
        }
        by_subject_[item.mapped().subject] = next;
        item.key() = next;
        entries_.insert(std::move(item));
    }
}

}  // namespace teaselpitch
