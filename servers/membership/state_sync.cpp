#include "servers/membership/state_sync.h"

#include <vector>

namespace teaselpitch {
namespace {

// About 12,000 facts or 1 MB at 99,000 targets, below the limit of a control message.
constexpr int max_requested_leaves = 2048;

std::uint64_t member_state_hash(const member& value) {
    return stable_hash(value.identity.name, value.identity.incarnation + value.refutation);
}

}  // namespace

state_digest state_sync::digest() const {
    state_digest result = targets_.digest();
    result.toggle(stable_hash(members_.self().identity.name), member_state_hash(members_.self()));
    for (const member* value : members_.running()) {
        result.toggle(stable_hash(value->identity.name), member_state_hash(*value));
    }
    return result;
}

std::string state_sync::groups_request() const {
    const state_digest own = digest();
    wire::StateGroups message;
    for (const std::uint64_t group : own.groups()) {
        message.add_groups(group);
    }
    return message.SerializeAsString();
}

absl::StatusOr<std::string> state_sync::answer_groups(std::string_view groups_request) const {
    wire::StateGroups message;
    if (!message.ParseFromString(std::string(groups_request)) ||
        message.groups_size() != static_cast<int>(state_digest::group_count)) {
        return absl::InvalidArgumentError("state sync: the hashes of the groups cannot be decoded");
    }
    const state_digest own = digest();
    wire::StateLeaves answer;
    for (std::size_t group = 0; group < state_digest::group_count; ++group) {
        if (message.groups(static_cast<int>(group)) == own.groups()[group]) {
            continue;
        }
        wire::GroupLeaves& leaves = *answer.add_groups();
        leaves.set_group(static_cast<std::uint32_t>(group));
        for (const std::uint32_t leaf : own.leaves(group)) {
            leaves.add_leaves(leaf);
        }
    }
    return answer.SerializeAsString();
}

absl::StatusOr<std::optional<std::string>> state_sync::facts_request(std::string_view leaves_answer) const {
    wire::StateLeaves message;
    if (!message.ParseFromString(std::string(leaves_answer))) {
        return absl::InvalidArgumentError("state sync: the hashes of the leaves cannot be decoded");
    }
    const state_digest own = digest();
    std::vector<bool> wanted(state_digest::leaf_count);
    wire::StateFacts request;
    for (const wire::GroupLeaves& group : message.groups()) {
        if (group.group() >= state_digest::group_count ||
            group.leaves_size() != static_cast<int>(state_digest::leaves_per_group)) {
            return absl::InvalidArgumentError(
                "state sync: a group number is out of range or its count of leaves is wrong");
        }
        for (std::size_t i = 0; i < state_digest::leaves_per_group; ++i) {
            const bool differs = group.leaves(static_cast<int>(i)) != own.leaves(group.group())[i];
            const std::size_t leaf = group.group() * state_digest::leaves_per_group + i;
            if (differs && request.leaves_size() < max_requested_leaves) {
                wanted[leaf] = true;
                request.add_leaves(static_cast<std::uint32_t>(leaf));
            }
        }
    }
    if (request.leaves_size() == 0) {
        return std::optional<std::string>{};
    }
    add_facts(wanted, request);
    return std::optional(request.SerializeAsString());
}

absl::StatusOr<std::string> state_sync::answer_facts(std::string_view facts_request) {
    wire::StateFacts message;
    if (!message.ParseFromString(std::string(facts_request)) ||
        message.leaves_size() > max_requested_leaves) {
        return absl::InvalidArgumentError("state sync: the facts cannot be decoded");
    }
    std::vector<bool> wanted(state_digest::leaf_count);
    for (const std::uint32_t leaf : message.leaves()) {
        if (leaf >= state_digest::leaf_count) {
            return absl::InvalidArgumentError("state sync: the facts request an unknown leaf");
        }
        wanted[leaf] = true;
    }
    wire::StateFacts answer;
    add_facts(wanted, answer);
    apply(message);
    return answer.SerializeAsString();
}

absl::Status state_sync::merge(std::string_view facts_answer) {
    wire::StateFacts message;
    if (!message.ParseFromString(std::string(facts_answer))) {
        return absl::InvalidArgumentError("state sync: the facts cannot be decoded");
    }
    apply(message);
    return absl::OkStatus();
}

void state_sync::add_facts(const std::vector<bool>& wanted, wire::StateFacts& message) const {
    const auto add_member = [&](const member& value) {
        if (wanted[state_digest::leaf_of(stable_hash(value.identity.name))]) {
            *message.add_facts()->mutable_node() = to_node_fact(value);
        }
    };
    add_member(members_.self());
    for (const member* value : members_.running()) {
        add_member(*value);
    }
    for (const member* value : members_.stopped()) {
        add_member(*value);
    }
    for (wire::Fact& fact : targets_.facts_in_leaves(wanted)) {
        *message.add_facts() = std::move(fact);
    }
}

void state_sync::apply(const wire::StateFacts& message) {
    // Nodes first, because a target of an unknown node is not visible.
    for (const wire::Fact& fact : message.facts()) {
        if (fact.has_node()) {
            members_.apply_synced_fact(fact.node());
        }
    }
    for (const wire::Fact& fact : message.facts()) {
        if (fact.has_target()) {
            targets_.apply(fact);
        }
    }
}

}  // namespace teaselpitch
