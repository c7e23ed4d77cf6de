#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/history/history.h"

namespace teaselpitch {

/// A fault that was injected into a target.
struct target_fault {
    std::string target;
    history_time injected_at = 0;
};

struct detection_result {
    std::string target;
    /// End time of the first bad answer after the fault; empty if there was none.
    std::optional<history_time> first_bad_answer;
    /// Time from the first bad answer to the start of the first one-second window in which the target
    /// received at most trial traffic, in microseconds; empty if there was no such window.
    std::optional<history_time> detected_after;
};

/// Measures how long the fleet took to reduce a faulty target to trial traffic: at most 5% of the target's
/// rate between measured_from and the fault, over a window of one second. Windows that end after measured_to
/// don't count.
detection_result measure_detection_time(const history& recorded, const target_fault& fault,
                                        history_time measured_from, history_time measured_to);

}  // namespace teaselpitch
