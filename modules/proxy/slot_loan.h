#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "modules/proxy/guarded_target.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// The loan of a target's slot to the caller of one run. Starts when start() is called and ends with the
/// object.
class slot_loan {
public:
    slot_loan(guarded_target& target, ticket_id ticket, caller_id caller, const time_source& clock,
              boost::asio::any_io_executor executor);
    slot_loan(const slot_loan&) = delete;
    slot_loan& operator=(const slot_loan&) = delete;
    ~slot_loan();

    // Commands.
    void start();
    /// The caller no longer decides how long the slot is taken.
    void stop();
    /// Runs an operation that waits for the caller; cancels it and returns nothing when the slot is
    /// reclaimed.
    template <typename Result>
    awaitable<std::optional<Result>> wait_for_caller(awaitable<Result> operation) {
        using namespace boost::asio::experimental::awaitable_operators;
        const steady_time begin = clock_.now();
        target_.loans().begin_wait(ticket_);
        std::variant<Result, reclaim_reason> first = co_await (std::move(operation) || reclaim_->wait());
        waited_ += clock_.now() - begin;
        if (first.index() == 1) {
            reclaimed_ = std::get<1>(first);
            co_return std::nullopt;
        }
        co_return std::get<0>(std::move(first));
    }
    /// Ends the wait that wait_for_caller() began; the caller sent or took this many bytes.
    void end_wait(std::size_t bytes) { target_.loans().end_wait(ticket_, bytes); }

    // Queries.
    [[nodiscard]] bool active() const { return reclaim_.has_value(); }
    /// Set when the slot was reclaimed.
    [[nodiscard]] std::optional<reclaim_reason> reclaimed() const { return reclaimed_; }
    /// Time that the slot has waited for the caller.
    [[nodiscard]] std::chrono::nanoseconds waited() const { return waited_; }

private:
    guarded_target& target_;
    const ticket_id ticket_;
    const caller_id caller_;
    const time_source& clock_;
    const boost::asio::any_io_executor executor_;
    std::optional<waiter_table<reclaim_reason>::registration> reclaim_;
    std::optional<reclaim_reason> reclaimed_;
    std::chrono::nanoseconds waited_{0};
};

/// A body that is still arriving. Reading it fails when the slot is reclaimed.
class lent_body final : public body_reader {
public:
    lent_body(body_reader& source, slot_loan& loan) : source_(source), loan_(loan) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override;

private:
    body_reader& source_;
    slot_loan& loan_;
};

/// Forwards an answer. Starts the loan when the answer becomes longer than what a node holds; writing it
/// fails when the slot is reclaimed.
class lent_answer final : public response_writer {
public:
    /// `became_long` is called when the answer becomes longer than `held_bytes`.
    lent_answer(response_writer& destination, slot_loan& loan, std::size_t held_bytes,
                std::function<void()> became_long)
        : destination_(destination),
          loan_(loan),
          held_bytes_(held_bytes),
          became_long_(std::move(became_long)) {}

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override { destination_.abort(); }

    /// Time that the slot had waited for the caller before the head; empty without a head.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> waited_before_head() const {
        return waited_before_head_;
    }

private:
    /// Notes that the answer has at least this many bytes.
    void note_length(std::uint64_t bytes);
    awaitable<absl::Status> run(awaitable<absl::Status> operation, std::size_t bytes);

    response_writer& destination_;
    slot_loan& loan_;
    const std::size_t held_bytes_;
    const std::function<void()> became_long_;
    std::uint64_t passed_bytes_ = 0;
    bool is_long_ = false;
    std::optional<std::chrono::nanoseconds> waited_before_head_;
};

}  // namespace teaselpitch
