#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "core/wire/table.pb.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// What is known about an append.
enum class append_state : std::uint8_t {
    stored,   ///< The log acknowledged the record at an offset.
    refused,  ///< The record was not stored: nothing was sent, or the log answered with an error.
    unknown,  ///< The record was sent and no acknowledgement came; it may be stored now or later.
};

struct append_outcome {
    append_state state = append_state::unknown;
    std::uint64_t offset = 0;  ///< Only for stored.
    std::string detail;        ///< Reason unless stored.
};

/// One stream of the log service.
class log_service {
public:
    virtual ~log_service() = default;

    virtual awaitable<append_outcome> append(std::string record) = 0;

    /// Reads at most `max` records from an offset on. Without records the log answers after at most
    /// `wait`. The batch tells the first offset that the log still has and the end of the log.
    virtual awaitable<absl::StatusOr<wire::LogBatch>> read(std::uint64_t from, std::uint32_t max,
                                                           std::chrono::milliseconds wait) = 0;

protected:
    log_service() = default;
    log_service(const log_service&) = default;
    log_service& operator=(const log_service&) = default;
};

}  // namespace teaselpitch
