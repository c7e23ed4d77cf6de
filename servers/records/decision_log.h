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

/// One named value on which a decision was based.
struct decision_evidence {
    std::string name;
    std::string value;
};

/// Records a decision with its time, the rule that led to it and the evidence.
struct decision_record {
    std::uint64_t sequence = 0;  ///< Increases by one with each record of this node.
    wall_time when;
    decision_subject subject = decision_subject::target;
    std::string id;        ///< Name of the target or service, request id or edit id.
    std::string service;   ///< Empty when the decision does not relate to a service.
    std::string decision;  ///< For example ejected, refused, quarantined, rejected.
    std::string rule;      ///< Name of the applied rule, as in docs/design.md.
    std::vector<decision_evidence> evidence;
};

/// Stores the latest decisions in one ring buffer per subject, so that many decisions about requests do not
/// overwrite the few about targets and edits. Bounded in records and in bytes: callers choose ids, hosts and
/// paths, which are part of the records. Thread-safe.
class decision_log {
public:
    /// Longer texts are cut.
    static constexpr std::size_t max_text_bytes = 1'024;
    static constexpr std::size_t max_bytes_per_subject = std::size_t{4} * 1024 * 1024;

    decision_log(const time_source& clock, std::size_t records_per_subject);

    /// Stores a record; sets its time and sequence. The oldest ones are removed to make room.
    void add(decision_record record);

    /// Returns up to `limit` latest records about an id or, except for requests, about a service of that
    /// name, oldest first. An empty id selects all records of the subject.
    [[nodiscard]] std::vector<decision_record> find(decision_subject subject, std::string_view id,
                                                    std::size_t limit) const;

private:
    static constexpr std::size_t subject_count = 4;

    struct ring {
        std::deque<decision_record> records;
        std::size_t bytes = 0;
    };

    const time_source& clock_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t next_sequence_ = 1;
    std::array<ring, subject_count> rings_;
};

}  // namespace teaselpitch
