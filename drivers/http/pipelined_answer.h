#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "drivers/http/caller_writer.h"
#include "servers/admission/memory_account.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Hooks of a pipelined answer into its connection.
struct pipelined_answer_hooks {
    /// True when the requests before or after this one could lose their answers if this one broke off.
    std::function<bool()> has_neighbours;
    std::function<void()> head_received;
    /// The answer is sent before it is complete, so that the connection must start no further request.
    std::function<void()> streaming_started;
};

/// Holds the answer to a pipelined request until it is complete. HTTP/1.1 can end a broken answer only by
/// closing the connection, which would take the answers of the requests behind it that targets have run; an
/// answer that breaks off while it is held is replaced by an error. An answer that exceeds the limit or the
/// memory budget is streamed.
class pipelined_answer final : public response_writer {
public:
    pipelined_answer(caller_writer& caller, memory_account& account, std::size_t limit_bytes,
                     pipelined_answer_hooks hooks);

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override;

private:
    awaitable<absl::Status> send_held();
    awaitable<absl::Status> start_streaming();

    caller_writer& caller_;
    const std::size_t limit_;
    const pipelined_answer_hooks hooks_;
    memory_charge charge_;
    std::optional<response_head> head_;  ///< Set while the answer is held.
    std::vector<std::byte> body_;
    bool passing_ = false;  ///< Bytes go to the caller as they come.
};

}  // namespace teaselpitch
