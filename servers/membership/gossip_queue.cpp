#include "servers/membership/gossip_queue.h"

#include <bit>
#include <vector>

namespace teaselpitch {
namespace {

// Field 6 with wire type 2 of wire.Datagram.
constexpr char facts_tag = 0x32;
constexpr std::size_t largest_one_byte_length = 127;
// Entries that may be passed over because they do not fit; bounds the work for one datagram.
constexpr std::size_t most_skipped = 8;

void append_fact(std::string& datagram, const std::string& fact) {
    datagram.push_back(facts_tag);
    std::size_t length = fact.size();
    while (length > largest_one_byte_length) {
        datagram.push_back(static_cast<char>((length & largest_one_byte_length) | 0x80U));
        length >>= 7U;
    }
    datagram.push_back(static_cast<char>(length));
    datagram.append(fact);
}

std::size_t encoded_size(const std::string& fact) {
    return 1 + (fact.size() > largest_one_byte_length ? 2 : 1) + fact.size();
}

}  // namespace

void gossip_queue::push(std::string_view subject, std::string fact, fact_urgency urgency) {
    const rank place{0, next_--};
    const auto [known, added] = by_subject_.try_emplace(std::string(subject), place);
    if (!added) {
        entries_.erase(known->second);
        known->second = place;
    }
    entries_.emplace(place, entry{std::string(subject), std::move(fact), urgency});
}

std::size_t gossip_queue::transmissions(std::size_t nodes, fact_urgency urgency) const {
    const std::size_t multiplier =
        urgency == fact_urgency::urgent ? multipliers_.urgent : multipliers_.ordinary;
    return multiplier * static_cast<std::size_t>(std::bit_width(nodes));
}

void gossip_queue::append_to(std::string& datagram, std::size_t limit, std::size_t nodes) {
    std::vector<rank> sent;
    std::size_t skipped = 0;
    for (const auto& [place, item] : entries_) {
        if (datagram.size() + encoded_size(item.fact) <= limit) {
            append_fact(datagram, item.fact);
            sent.push_back(place);
        } else if (++skipped > most_skipped) {
            break;
        }
    }
    for (const rank& place : sent) {
        auto item = entries_.extract(place);
        const rank next{place.first + 1, place.second};
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
