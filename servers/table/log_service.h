#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "core/wire/table.pb.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Outcome of an append.
enum class append_state : std::uint8_t {
    stored,   ///< The log acknowledged the record at an offset.
    refused,  ///< The record was not stored: it was not sent, or the log answered with an error.
    unknown,  ///< The record was sent without an acknowledgement and may be stored now or later.
};

struct append_outcome {
    append_state state = append_state::unknown;
    std::uint64_t offset = 0;  ///< Only for stored.
    std::string detail;        ///< Reason unless stored.
};

/// Interface of one stream of the log service.
class log_service {
public:
    virtual ~log_service() = default;

    virtual awaitable<append_outcome> append(std::string record) = 0;

    /// Reads at most `max` records starting at an offset. If there are none, the log answers after at most
    /// `wait`. The batch contains the first offset that the log retains and the end of the log.
    virtual awaitable<absl::StatusOr<wire::LogBatch>> read(std::uint64_t from, std::uint32_t max,
                                                           std::chrono::milliseconds wait) = 0;

protected:
    log_service() = default;
    log_service(const log_service&) = default;
    log_service& operator=(const log_service&) = default;
};

}  // namespace teaselpitch
