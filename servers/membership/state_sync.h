#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "servers/membership/membership.h"
#include "servers/membership/state_digest.h"
#include "servers/membership/target_registry.h"

namespace teaselpitch {

/// Anti-entropy of members and targets between two nodes in two requests: the hashes of groups are answered
/// with the leaves of the groups that differ, then the facts in the leaves that differ are exchanged both
/// ways.
///
/// One round exchanges a bounded number of leaves; the initiator repeats until facts_request() is empty.
class state_sync {
public:
    state_sync(membership& members, target_registry& targets) : members_(members), targets_(targets) {}

    // The initiator.
    [[nodiscard]] std::string groups_request() const;
    /// The second request; empty when nothing differs.
    [[nodiscard]] absl::StatusOr<std::optional<std::string>> facts_request(
        std::string_view leaves_answer) const;
    absl::Status merge(std::string_view facts_answer);

    // The responder.
    [[nodiscard]] absl::StatusOr<std::string> answer_groups(std::string_view groups_request) const;
    [[nodiscard]] absl::StatusOr<std::string> answer_facts(std::string_view facts_request);

    /// Hashes of the running members and the targets.
    [[nodiscard]] state_digest digest() const;

private:
    void add_facts(const std::vector<bool>& wanted, wire::StateFacts& message) const;
    void apply(const wire::StateFacts& message);

    membership& members_;
    target_registry& targets_;
};

}  // namespace teaselpitch
