#include "modules/proxy/slot_loan.h"

namespace teaselpitch {
namespace {

absl::Status reclaimed_status() {
    return absl::AbortedError("the slot was reclaimed for another request");
}

}  // namespace

slot_loan::slot_loan(guarded_target& target, ticket_id ticket, caller_id caller, const time_source& clock,
                     boost::asio::any_io_executor executor)
    : target_(target), ticket_(ticket), caller_(caller), clock_(clock), executor_(std::move(executor)) {}

slot_loan::~slot_loan() {
    stop();
}

void slot_loan::start() {
    if (!reclaim_) {
        reclaim_.emplace(target_.reclaims(), ticket_, executor_);
        target_.loans().lend(ticket_, caller_);
    }
}

void slot_loan::stop() {
    if (reclaim_) {
        target_.loans().end(ticket_);
        reclaim_.reset();
    }
}

awaitable<absl::StatusOr<std::size_t>> lent_body::read_some(std::span<std::byte> buffer) {
    if (!loan_.active()) {
        co_return co_await source_.read_some(buffer);
    }
    const std::optional<absl::StatusOr<std::size_t>> read =
        co_await loan_.wait_for_caller(source_.read_some(buffer));
    if (!read) {
        co_return reclaimed_status();
    }
    loan_.end_wait(read->ok() ? **read : 0);
    if (read->ok() && **read == 0) {
        loan_.stop();
    }
    co_return *read;
}

awaitable<absl::Status> lent_answer::write_head(const response_head& head) {
    waited_before_head_ = loan_.waited();
    // The ingress streams such an answer from its first byte.
    note_length(head.has_body ? head.content_length.value_or(0) : 0);
    return destination_.write_head(head);
}

awaitable<absl::Status> lent_answer::write_body(std::span<const std::byte> data) {
    passed_bytes_ += data.size();
    note_length(passed_bytes_);
    return loan_.active() ? run(destination_.write_body(data), data.size()) : destination_.write_body(data);
}

awaitable<absl::Status> lent_answer::finish() {
    return loan_.active() ? run(destination_.finish(), 0) : destination_.finish();
}

void lent_answer::note_length(std::uint64_t bytes) {
    if (!is_long_ && bytes > held_bytes_) {
        is_long_ = true;
        became_long_();
        loan_.start();
    }
}

awaitable<absl::Status> lent_answer::run(awaitable<absl::Status> operation, std::size_t bytes) {
    const std::optional<absl::Status> written = co_await loan_.wait_for_caller(std::move(operation));
    if (!written) {
        co_return reclaimed_status();
    }
    loan_.end_wait(bytes);
    co_return *written;
}

}  // namespace teaselpitch
