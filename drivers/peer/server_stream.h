#pragma once

#include <cstddef>
#include <memory>
#include <span>

#include "drivers/peer/h2_session.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Reads the request body of a stream on the server. The first read grants the peer the stream window.
class server_body_reader final : public body_reader {
public:
    server_body_reader(std::shared_ptr<h2_session> session, std::shared_ptr<h2_stream> stream)
        : session_(std::move(session)), stream_(std::move(stream)) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override;

private:
    std::shared_ptr<h2_session> session_;
    std::shared_ptr<h2_stream> stream_;
    bool window_granted_ = false;
};

/// Writes the response of the gate to a stream on the server.
class server_response_writer final : public response_writer {
public:
    server_response_writer(std::shared_ptr<h2_session> session, std::shared_ptr<h2_stream> stream)
        : session_(std::move(session)), stream_(std::move(stream)) {}

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override;

    /// Ends the stream with the result: as a trailer after the body, or in the header block when no response
    /// head was written. Resets the stream when the result has no error but the response is incomplete.
    void complete(const exchange_result& result);

private:
    std::shared_ptr<h2_session> session_;
    std::shared_ptr<h2_stream> stream_;
    bool head_written_ = false;
    bool finished_ = false;
};

}  // namespace teaselpitch
