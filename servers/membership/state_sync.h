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

/// Anti-entropy exchange of members and targets between two nodes. The first request carries the group
/// hashes; its answer has the leaf hashes of the groups that differ. The second request and its answer carry
/// the facts in the leaves that differ.
///
/// A round exchanges a bounded number of leaves. The initiator starts new rounds until facts_request() is
/// empty.
class state_sync {
public:
    state_sync(membership& members, target_registry& targets) : members_(members), targets_(targets) {}

    // Used by the initiator.

    /// Encodes the first request.
    [[nodiscard]] std::string groups_request() const;
    /// Encodes the second request; empty when nothing differs. INVALID_ARGUMENT: the answer cannot be
    /// decoded.
    [[nodiscard]] absl::StatusOr<std::optional<std::string>> facts_request(
        std::string_view leaves_answer) const;
    /// Applies the facts of the second answer. INVALID_ARGUMENT: the answer cannot be decoded.
    absl::Status merge(std::string_view facts_answer);

    // Used by the responder. INVALID_ARGUMENT: the request cannot be decoded.

    /// Encodes the answer to the first request.
    [[nodiscard]] absl::StatusOr<std::string> answer_groups(std::string_view groups_request) const;
    /// Applies the facts of the second request and encodes its answer.
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
