#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/history/history.h"

namespace teaselpitch {

/// The moment of a scheduled fault of one target.
struct target_fault {
    std::string target;
    history_time when = 0;
};

struct detection_result {
    std::string target;
    /// End of the first bad answer; empty when the target gave none.
    std::optional<history_time> first_bad;
    /// From the first bad answer until a second with at most trial traffic began; empty when none did.
    std::optional<history_time> detected_after;
};

/// Computes the time until the target got at most trial traffic, 5% of its rate between measured_from and
/// the fault, in a window of one second. Windows that reach past measured_to do not count.
detection_result measure_detection(const history& recorded, const target_fault& fault,
                                   history_time measured_from, history_time measured_to);

}  // namespace teaselpitch
