#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/health/outlier_detection_options.h"

namespace teaselpitch {

/// Outcome of an exchange with a gate as observed by the ingress.
enum class path_outcome : std::uint8_t {
    answered,                 ///< The gate answered or refused, so the path and the gate work.
    unreachable,              ///< No connection to the node could be opened.
    connection_unresponsive,  ///< No answer to a ping on an open connection within its deadline.
    connection_lost,          ///< An open connection was lost.
    answer_broken,            ///< The stream was aborted while its connection stayed open.
    gate_overdue,             ///< The gate did not answer before the deadline of the request.
};

struct path_fault_options {
    double threshold = 9.0;  ///< Log likelihood ratio that triggers ejection.
    std::chrono::milliseconds half_life{5'000};
    std::size_t max_entries = 8'192;  ///< Bounds the memory.
};

path_fault_options path_fault_options_for(detection_policy policy);

/// Evidence against one target or node.
struct path_evidence {
    std::string name;
    double outlier_score = 0;  ///< 0 is healthy; 1 or more triggers ejection in this node's view.
};

/// Detects at the ingress the faults that a gate cannot observe: faults of the path, of the gate itself and
/// aborted answers.
///
/// Connection faults count against the path to the peer node and never against a target. All requests that
/// fail with the same connection count as one fault. Safe to use from several threads; the lock is held for
/// microseconds.
class path_fault_detector {
public:
    path_fault_detector(const time_source& clock, path_fault_options options);

    /// Records the end of one exchange. `connection` identifies the connection or the attempt to open one and
    /// is unique in the process.
    void on_result(std::string_view target, std::string_view node, std::uint64_t connection,
                   path_outcome outcome);
    /// Records the answer to a ping, which proves that the path works without a request.
    void on_ping_answer(std::string_view node);
    /// Removes evidence that has decayed to a negligible value.
    void on_tick();

    [[nodiscard]] double target_outlier_score(std::string_view target) const;
    [[nodiscard]] double node_outlier_score(std::string_view node) const;
    /// Return the targets and nodes with evidence against them.
    [[nodiscard]] std::vector<path_evidence> suspect_targets() const;
    [[nodiscard]] std::vector<path_evidence> suspect_nodes() const;

private:
    struct entry {
        double sum = 0;
        steady_time updated_at{};
        std::uint64_t last_connection = 0;
    };
    using entries = std::map<std::string, entry, std::less<>>;

    void add_evidence(entries& evidence_by_name, std::string_view name, double ratio) const;
    void add_connection_fault(entries& evidence_by_name, std::string_view name,
                              std::uint64_t connection) const;
    [[nodiscard]] double decayed_sum(const entry& item) const;
    [[nodiscard]] double outlier_score_in(const entries& evidence_by_name, std::string_view name) const;
    [[nodiscard]] std::vector<path_evidence> list_evidence(const entries& evidence_by_name) const;

    const time_source& clock_;
    const path_fault_options options_;
    mutable std::mutex mutex_;
    entries targets_;
    entries nodes_;
};

}  // namespace teaselpitch
