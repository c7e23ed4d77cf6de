#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "modules/history/history.h"

namespace teaselpitch {

/// The seven guarantees that docs/design.md defines.
enum class guarantee : std::uint8_t {
    floor,
    whole_answer,
    not_run_is_true,
    at_most_once,
    no_work_after_leaving,
    graceful_stop,
    versions,
};

std::string_view to_string(guarantee value);

struct violation {
    guarantee violated;
    std::string detail;  ///< Identifies the records that contradict the guarantee.
};

struct history_limits {
    std::chrono::microseconds leaving_limit{
        std::chrono::seconds{2}};  ///< Time after which a leaving target starts no work.
    std::chrono::microseconds in_force_limit{
        std::chrono::seconds{4}};  ///< Time within which each live node serves an edit.
    /// False if the run disconnects nodes from the log, because in_force_limit doesn't apply to such nodes.
    bool check_in_force = true;
};

/// Checks a recorded history for violations of the guarantees.
class history_checker {
public:
    explicit history_checker(history_limits limits) : limits_(limits) {}

    /// Returns all violations, in the order of the enumerators of `guarantee`.
    [[nodiscard]] std::vector<violation> check(const history& recorded) const;

private:
    history_limits limits_;
};

}  // namespace teaselpitch
