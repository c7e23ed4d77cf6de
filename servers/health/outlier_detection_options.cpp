#include "servers/health/outlier_detection_options.h"

namespace teaselpitch {

outlier_detection_options outlier_detection_options_for(detection_policy policy, std::uint32_t slots) {
    using std::chrono::milliseconds;
    switch (policy) {
        case detection_policy::cautious:
            return {.threshold = 27.0,
                    .min_bad_requests = 8,
                    .confirmation_time = milliseconds{600},
                    .unanswered_confirmation_time = milliseconds{1200},
                    .slots = slots,
                    .half_life = milliseconds{5'000}};
        case detection_policy::balanced:
            return {.threshold = 23.0,
                    .min_bad_requests = 6,
                    .confirmation_time = milliseconds{250},
                    .unanswered_confirmation_time = milliseconds{800},
                    .slots = slots,
                    .half_life = milliseconds{5'000}};
        case detection_policy::fast:
            break;
    }
    return {.threshold = 20.0,
            .min_bad_requests = 5,
            .confirmation_time = milliseconds{100},
            .unanswered_confirmation_time = milliseconds{400},
            .slots = slots,
            .half_life = milliseconds{5'000}};
}

}  // namespace teaselpitch
