#include "servers/claims/slot_map.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

constexpr std::size_t max_candidates = 2;
constexpr std::uint64_t slot_hash_seed =
    0x736c6f74;  // Makes this hash independent of other hashes of the same keys.

struct ranked_node {
    std::uint64_t score = 0;
    const eligible_node* eligible = nullptr;
};

std::vector<ranked_node> rank_nodes(const slot_id& slot, std::span<const eligible_node> nodes) {
    const std::uint64_t seed = stable_hash(slot.service, slot.slot);
    std::vector<ranked_node> ranked;
    ranked.reserve(nodes.size());
    for (const eligible_node& eligible : nodes) {
        ranked.push_back({stable_hash(eligible.node.name, seed), &eligible});
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_node& left, const ranked_node& right) {
        return left.score != right.score ? left.score > right.score
                                         : left.eligible->node.name < right.eligible->node.name;
    });
    return ranked;
}

bool contains(const std::vector<node_identity>& nodes, const node_identity& node) {
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

wire::NodeName to_wire(const node_identity& node) {
    wire::NodeName message;
    message.set_name(node.name);
    message.set_incarnation(node.incarnation);
    return message;
}

node_identity from_wire(const wire::NodeName& message) {
    return {message.name(), message.incarnation()};
}

wire::SlotAssignment to_wire(const slot_assignment& assignment) {
    wire::SlotAssignment message;
    message.set_service(assignment.slot.service);
    message.set_slot(assignment.slot.slot);
    message.set_previous_epoch(assignment.previous_epoch);
    *message.mutable_holder() = to_wire(assignment.holder);
    for (const node_identity& candidate : assignment.candidates) {
        *message.add_candidates() = to_wire(candidate);
    }
    message.set_planned(assignment.planned);
    message.set_epoch(assignment.epoch);
    message.set_reset(assignment.reset);
    return message;
}

slot_assignment from_wire(const wire::SlotAssignment& message) {
    slot_assignment assignment;
    assignment.slot = {message.service(), message.slot()};
    assignment.previous_epoch = message.previous_epoch();
    assignment.epoch = message.epoch();
    assignment.holder = from_wire(message.holder());
    for (const wire::NodeName& candidate : message.candidates()) {
        assignment.candidates.push_back(from_wire(candidate));
    }
    assignment.planned = message.planned();
    assignment.reset = message.reset();
    return assignment;
}

std::uint32_t slot_of_key(std::string_view scoped_key) {
    return static_cast<std::uint32_t>(stable_hash(scoped_key, slot_hash_seed) % slots_per_service);
}

std::string scoped_key(std::string_view account, std::string_view key) {
    std::string scoped;
    scoped.reserve(account.size() + 1 + key.size());
    scoped.append(account).push_back('\0');  // This byte cannot occur in a header value.
    return scoped.append(key);
}

std::vector<node_identity> propose_candidates(const slot_id& slot, const node_identity& holder,
                                              std::span<const eligible_node> nodes) {
    const auto holder_node =
        std::find_if(nodes.begin(), nodes.end(),
                     [&holder](const eligible_node& eligible) { return eligible.node == holder; });
    std::vector<std::string_view> used_zones;
    if (holder_node != nodes.end()) {
        used_zones.push_back(holder_node->availability_zone);
    }
    const std::vector<ranked_node> ranked = rank_nodes(slot, nodes);
    std::vector<node_identity> candidates;
    // The first pass chooses one node from each other zone; the second pass adds nodes of any zone if needed.
    for (const bool any_zone : {false, true}) {
        for (const ranked_node& next : ranked) {
            const eligible_node& eligible = *next.eligible;
            const bool zone_used = std::find(used_zones.begin(), used_zones.end(),
                                             eligible.availability_zone) != used_zones.end();
            if (candidates.size() == max_candidates || eligible.node.name == holder.name ||
                contains(candidates, eligible.node) || (zone_used && !any_zone)) {
                continue;
            }
            candidates.push_back(eligible.node);
            used_zones.push_back(eligible.availability_zone);
        }
    }
    return candidates;
}

assignment_proposal propose_assignment(const slot_id& slot, std::span<const eligible_node> nodes) {
    const std::vector<ranked_node> ranked = rank_nodes(slot, nodes);
    if (ranked.empty()) {
        return {};
    }
    const node_identity& holder = ranked.front().eligible->node;
    return {holder, propose_candidates(slot, holder, nodes)};
}

absl::Status slot_map::apply(const wire::SlotAssignment& message, const node_identity& appender, bool reset,
                             std::uint64_t offset) {
    slot_assignment next = from_wire(message);
    next.epoch = offset;
    next.reset = reset;
    if (absl::Status form = validate_fields(next); !form.ok()) {
        return form;
    }
    if (absl::Status successor = validate_succession(next, appender); !successor.ok()) {
        return successor;
    }
    const slot_id slot = next.slot;
    assignments_[slot] = std::move(next);
    return absl::OkStatus();
}

absl::Status slot_map::validate_fields(const slot_assignment& next) {
    if (next.slot.service.empty() || next.slot.slot >= slots_per_service) {
        return absl::InvalidArgumentError(
            "The assignment has no service or its slot number is out of range.");
    }
    if (next.holder.name.empty()) {
        return absl::InvalidArgumentError("The assignment has no holder.");
    }
    if (contains(next.candidates, next.holder)) {
        return absl::InvalidArgumentError("The holder is also a candidate of its own slot.");
    }
    return absl::OkStatus();
}

absl::Status slot_map::validate_succession(const slot_assignment& next, const node_identity& appender) const {
    const slot_assignment* current = find(next.slot);
    const std::uint64_t epoch = current == nullptr ? 0 : current->epoch;
    if (next.epoch <= epoch) {
        return absl::AlreadyExistsError("The record is not newer than the current assignment.");
    }
    if (next.previous_epoch != epoch) {
        return absl::FailedPreconditionError("The slot is at epoch " + std::to_string(epoch) +
                                             ", the record replaces epoch " +
                                             std::to_string(next.previous_epoch) + ".");
    }
    if (next.reset) {
        return absl::OkStatus();
    }
    if (appender != next.holder) {
        return absl::PermissionDeniedError("The record was not appended by the holder of its assignment.");
    }
    if (current == nullptr || next.planned || appender == current->holder ||
        contains(current->candidates, appender)) {
        return absl::OkStatus();
    }
    return absl::PermissionDeniedError(appender.name + " is not a candidate of the current assignment.");
}

void slot_map::merge_newer(std::span<const slot_assignment> assignments) {
    for (const slot_assignment& next : assignments) {
        const auto [entry, added] = assignments_.try_emplace(next.slot, next);
        if (!added && entry->second.epoch < next.epoch) {
            entry->second = next;
        }
    }
}

const slot_assignment* slot_map::find(const slot_id& slot) const {
    const auto found = assignments_.find(slot);
    return found == assignments_.end() ? nullptr : &found->second;
}

std::vector<slot_assignment> slot_map::assignments() const {
    std::vector<slot_assignment> result;
    result.reserve(assignments_.size());
    for (const auto& [slot, assignment] : assignments_) {
        result.push_back(assignment);
    }
    std::sort(result.begin(), result.end());
    return result;
}

}  // namespace teaselpitch
