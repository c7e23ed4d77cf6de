#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "modules/history/history.h"

namespace teaselpitch {

/// The seven guarantees of docs/design.md.
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
    guarantee broken;
    std::string detail;  ///< Names the records that contradict the guarantee.
};

struct history_limits {
    std::chrono::microseconds leaving{std::chrono::seconds{2}};   ///< After it a leaving target gets no work.
    std::chrono::microseconds in_force{std::chrono::seconds{4}};  ///< For each live node to serve an edit.
    /// False when the run cut nodes off from the log, where the limit for edits does not apply.
    bool check_in_force = true;
};

/// Judges the guarantees on a recorded history.
class history_checker {
public:
    explicit history_checker(history_limits limits) : limits_(limits) {}

    /// All violations, in the order of the guarantees.
    [[nodiscard]] std::vector<violation> check(const history& recorded) const;

private:
    history_limits limits_;
};

}  // namespace teaselpitch
