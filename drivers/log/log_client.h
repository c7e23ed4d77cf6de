#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/identity.h"
#include "servers/table/log_service.h"

namespace teaselpitch {

struct log_client_settings {
    endpoint address;
    std::string stream = "table";
    /// Timeout of a call, in addition to the wait of a read.
    std::chrono::milliseconds answer_timeout{3'000};
};

/// Client of the log service over HTTP/1.1. Each call uses a new connection, so that a connection that stops
/// responding delays only one call.
class log_client final : public log_service {
public:
    explicit log_client(log_client_settings settings);

    awaitable<append_outcome> append(std::string record) override;
    awaitable<absl::StatusOr<wire::LogBatch>> read(std::uint64_t from, std::uint32_t max,
                                                   std::chrono::milliseconds wait) override;

private:
    log_client_settings settings_;
};

}  // namespace teaselpitch
