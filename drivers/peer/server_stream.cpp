#include "drivers/peer/server_stream.h"

#include <string>

#include "drivers/peer/head_codec.h"

namespace teaselpitch {

awaitable<absl::StatusOr<std::size_t>> server_body_reader::read_some(std::span<std::byte> buffer) {
    if (!window_granted_) {
        window_granted_ = true;
        session_->grant_window(*stream_);
    }
    co_return co_await session_->receive(stream_, buffer);
}

awaitable<absl::Status> server_response_writer::write_head(const response_head& head) {
    if (stream_->closed || head_written_) {
        co_return stream_->closed ? absl::CancelledError("the peer closed the stream")
                                  : absl::FailedPreconditionError("the response head was already written");
    }
    head_written_ = true;
    session_->respond(*stream_, {{":status", "200"}, {std::string(response_field), encode_response(head)}},
                      true);
    co_return absl::OkStatus();
}

awaitable<absl::Status> server_response_writer::write_body(std::span<const std::byte> data) {
    if (!head_written_ || finished_) {
        co_return absl::FailedPreconditionError(
            "body bytes were written before the response head or after its end");
    }
    co_return co_await session_->send(stream_, data);
}

awaitable<absl::Status> server_response_writer::finish() {
    finished_ = head_written_;
    co_return stream_->closed ? absl::CancelledError("the peer closed the stream") : absl::OkStatus();
}

void server_response_writer::abort() {
    finished_ = false;
    stream_->aborted = true;
}

void server_response_writer::complete(const exchange_result& result) {
    h2_fields trailer{{std::string(result_field), encode_result(result)}};
    if (!head_written_) {
        trailer.emplace(trailer.begin(), ":status", "200");
        session_->respond(*stream_, trailer, false);
    } else if (!finished_ && result.error == error_kind::none) {
        // A result without an error would make the incomplete answer look complete.
        session_->reset(*stream_, NGHTTP2_INTERNAL_ERROR);
    } else {
        session_->finish(*stream_, std::move(trailer));
    }
}

}  // namespace teaselpitch
