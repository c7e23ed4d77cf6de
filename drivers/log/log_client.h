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
    /// Longest wait for an answer, in addition to the wait of a read.
    std::chrono::milliseconds answer_timeout{3'000};
};

/// The log service over HTTP/1.1. Each call uses a connection of its own, so that a connection that went
/// silent delays one call only.
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
