#include "servers/health/detection_policy.h"

namespace teaselpitch {

judge_options options_for(detection_policy policy, std::uint32_t slots) {
    using std::chrono::milliseconds;
    switch (policy) {
        case detection_policy::cautious:
            return {.threshold = 27.0,
                    .least_evidence = 8,
                    .confirmation = milliseconds{600},
                    .unanswered_confirmation = milliseconds{1200},
                    .slots = slots,
                    .half_life = milliseconds{5'000}};
        case detection_policy::balanced:
            return {.threshold = 23.0,
                    .least_evidence = 6,
                    .confirmation = milliseconds{250},
                    .unanswered_confirmation = milliseconds{800},
                    .slots = slots,
                    .half_life = milliseconds{5'000}};
        case detection_policy::fast:
            break;
    }
    return {.threshold = 20.0,
            .least_evidence = 5,
            .confirmation = milliseconds{100},
            .unanswered_confirmation = milliseconds{400},
            .slots = slots,
            .half_life = milliseconds{5'000}};
}

}  // namespace teaselpitch
