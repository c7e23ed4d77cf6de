#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace teaselpitch {

enum class decision_subject : std::uint8_t { target, request, edit, service };

std::string_view to_string(decision_subject subject);

/// One figure behind a decision.
struct decision_evidence {
    std::string name;
    std::string value;
};

/// What was decided, when, on which evidence and by which rule.
struct decision_record {
    std::uint64_t sequence = 0;  ///< Grows by one with each record of this node.
    wall_time when;
    decision_subject subject = decision_subject::target;
    std::string id;        ///< Name of the target or service, request id or edit id.
    std::string service;   ///< Empty where no service is concerned.
    std::string decision;  ///< For example ejected, refused, quarantined, rejected.
    std::string rule;      ///< The rule that decided, as docs/design.md names it.
    std::vector<decision_evidence> evidence;
};

/// Bounded memory of decisions, one ring for each subject, so that many requests do not push out the few
/// decisions about targets and edits. Safe for use by several threads.
class decision_log {
public:
    decision_log(const time_source& clock, std::size_t records_per_subject);

    // Commands.
    void add(decision_record record);

    // Queries.
    /// The latest records about one id, oldest first. An empty id selects all of the subject.
    [[nodiscard]] std::vector<decision_record> find(decision_subject subject, std::string_view id,
                                                    std::size_t limit) const;

private:
    static constexpr std::size_t subject_count = 4;

    const time_source& clock_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t next_sequence_ = 1;
    std::array<std::deque<decision_record>, subject_count> rings_;
};

}  // namespace teaselpitch
