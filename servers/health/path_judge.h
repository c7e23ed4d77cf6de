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
#include "servers/health/detection_policy.h"

namespace teaselpitch {

/// How an exchange with a gate went, seen from the ingress.
enum class path_outcome : std::uint8_t {
    answered,           ///< The gate answered or refused: path and gate work.
    unreachable,        ///< No connection to the node.
    connection_silent,  ///< The ping deadline of an open connection passed.
    connection_lost,    ///< An open connection broke.
    answer_broken,      ///< This stream broke off while its connection stayed open.
    gate_overdue,       ///< The gate gave no answer although the deadline it was given has passed.
};

struct path_options {
    double threshold = 9.0;  ///< Log likelihood ratio that asks for ejection.
    std::chrono::milliseconds half_life{5'000};
    std::size_t most_entries = 8'192;  ///< Bounds the memory.
};

path_options path_options_for(detection_policy policy);

/// Evidence about one target or node.
struct path_evidence {
    std::string name;
    double badness = 0;  ///< 0 is healthy; 1 or more asks for ejection from this node's view.
};

/// Judges at the ingress what a gate cannot see: the path, the gate itself and answers that break off.
///
/// Faults of a connection count against the path to the peer node and never against a target. All
/// requests that one connection takes down count as one fault. Safe to use from several threads; the
/// lock is held for microseconds.
class path_judge {
public:
    path_judge(const time_source& clock, path_options options);

    /// Notes the end of one exchange. `connection` identifies the connection, or the attempt to open
    /// one; numbers are unique in the process.
    void on_result(std::string_view target, std::string_view node, std::uint64_t connection,
                   path_outcome outcome);
    /// Notes the answer to a ping, which proves the path without any work.
    void on_ping(std::string_view node);
    /// Forgets evidence that has aged.
    void on_tick();

    [[nodiscard]] double target_badness(std::string_view target) const;
    [[nodiscard]] double node_badness(std::string_view node) const;
    /// Targets and nodes with any evidence against them.
    [[nodiscard]] std::vector<path_evidence> suspect_targets() const;
    [[nodiscard]] std::vector<path_evidence> suspect_nodes() const;

private:
    struct entry {
        double sum = 0;
        steady_time updated_at{};
        std::uint64_t last_connection = 0;
    };
    using entries = std::map<std::string, entry, std::less<>>;

    void count(entries& where, std::string_view name, double ratio) const;
    void count_fault(entries& where, std::string_view name, std::uint64_t connection) const;
    [[nodiscard]] double aged(const entry& item) const;
    [[nodiscard]] double badness_in(const entries& where, std::string_view name) const;
    [[nodiscard]] std::vector<path_evidence> list(const entries& where) const;

    const time_source& clock_;
    const path_options options_;
    mutable std::mutex mutex_;
    entries targets_;
    entries nodes_;
};

}  // namespace teaselpitch
