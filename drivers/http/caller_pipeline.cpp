#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <utility>

#include "drivers/http/caller_connection.h"
#include "drivers/http/error_reply.h"
#include "drivers/http/pipelined_answer.h"

// Members of caller_connection that run overlapping requests.
namespace teaselpitch {
namespace {

/// The body of a request without one.
class empty_body final : public body_reader {
public:
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte>) override {
        co_return std::size_t{0};
    }
};

std::size_t memory_of(const request_head& head) {
    std::size_t bytes = sizeof(request_head) + head.path.capacity();
    for (const header_field& field : head.headers) {
        bytes += sizeof(header_field) + field.name.capacity() + field.value.capacity();
    }
    // The ingress and each attempt have copies.
    constexpr std::size_t copies = 3;
    return copies * bytes;
}

}  // namespace

void caller_connection::start_overlapped(request_head head, connection_preferences preferences) {
    auto request = std::make_shared<overlapped_request>();
    request->head = std::move(head);
    request->preferences = preferences;
    request->position = next_position_++;
    request->charge = memory_charge(&account_);
    request->charge.set(memory_of(request->head));
    account_.set_sent(true);
    overlapped_.insert(request);
    ++context_->open_exchanges;
    net::co_spawn(socket_.get_executor(), run_overlapped(request),
                  net::bind_cancellation_slot(request->cancel.slot(), [self = shared_from_this(),
                                                                       request](const std::exception_ptr&) {
                      self->remove_overlapped(request);
                  }));
}

awaitable<void> caller_connection::run_overlapped(std::shared_ptr<overlapped_request> request) {
    empty_body body;
    caller_writer_settings settings = writer_settings(request->head, request->preferences);
    settings.wait_for_earlier_answers = [this, request] {
        request->answer_started = true;
        return wait_for_earlier_answers(request->position);
    };
    caller_writer writer(socket_, write_deadline_, settings);
    bool streams = false;
    pipelined_answer answer(writer, account_, context_->options.max_held_answer_bytes,
                            {.has_neighbours =
                                 [this, request] {
                                     return answered_before_ < request->position ||
                                            next_position_ > request->position + 1;
                                 },
                             .head_received = [request] { request->answer_started = true; },
                             .streaming_started = [this, &streams] { streaming_answer_ = streams = true; }});
    exchange_result result = failed_exchange(error_kind::cancelled, "the caller closed the connection");
    co_await run_handler(request->head, body, answer, result);
    // From here on, closing_ ends the coroutine. A cancelled state would make co_spawn throw when the
    // coroutine ends.
    co_await net::this_coro::reset_cancellation_state(net::disable_cancellation());
    request->answer_started = true;
    if (!closing_) {
        const exchange_result final_result = replace_if_terminated(std::move(result));
        co_await complete_overlapped_answer(*request, writer, final_result);
    }
    streaming_answer_ = streaming_answer_ && !streams;
}

awaitable<void> caller_connection::complete_overlapped_answer(const overlapped_request& request,
                                                              caller_writer& writer,
                                                              const exchange_result& result) {
    co_await wait_for_earlier_answers(request.position);
    bool open = false;
    if (closing_) {
        co_return;
    }
    if (writer.finished()) {
        open = writer.keep_alive();
    } else if (writer.started()) {
        writer.abort();
    } else {
        const exchange_result failure = to_error_result(result);
        const bool keep_open = request.preferences.keep_alive && !should_close_after_answer();
        open = co_await send_error(failure, request.head, request.preferences, !keep_open) && keep_open;
    }
    if (!open) {
        stop_reading();
        cancel_overlapped();
    }
}

void caller_connection::remove_overlapped(const std::shared_ptr<overlapped_request>& request) {
    overlapped_.erase(request);
    request->charge.set(0);
    --context_->open_exchanges;
    answered_before_ = std::max(answered_before_, request->position + 1);
    overlapped_changed_.cancel();
    if (overlapped_.empty()) {
        account_.set_sent(false);
    }
    if (waiting_for_request_ && overlapped_.empty() && !closing_) {
        read_deadline_.arm(context_->draining ? context_->options.drain_idle_grace
                                              : context_->options.limits.idle_timeout);
    }
}

void caller_connection::cancel_overlapped() {
    closing_ = true;
    const auto running = overlapped_;
    for (const auto& request : running) {
        request->cancel.emit(net::cancellation_type::terminal);
    }
    overlapped_changed_.cancel();
}

void caller_connection::stop_reading() {
    closing_ = true;
    // The last answer has been written, so only the read of the next header can be pending.
    error_code ignored;
    socket_.cancel(ignored);
}

bool caller_connection::has_free_slot() const {
    // Above the low mark, requests of one connection run one at a time.
    const std::size_t slots = account_.mark() >= memory_mark::low ? 1 : context_->options.max_overlapped;
    return overlapped_.size() < slots && !streaming_answer_;
}

awaitable<void> caller_connection::wait_until_slot_is_free() {
    while (!has_free_slot() && !closing_) {
        co_await overlapped_changed_.async_wait(tuple_awaitable);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (state.cancelled() != net::cancellation_type::none) {
            co_return;
        }
    }
}

// Nothing is read meanwhile, so a close by the caller must be looked for. Returns false when the connection
// ends.
awaitable<bool> caller_connection::wait_for_slot() {
    using namespace net::experimental::awaitable_operators;
    if (!has_free_slot() && !closing_) {
        const auto first = co_await (wait_until_slot_is_free() || wait_for_caller_close());
        if (first.index() == 1 && !closing_) {
            cancel_overlapped();
        }
    }
    co_return !closing_;
}

awaitable<void> caller_connection::wait_for_earlier_answers(std::uint64_t position) {
    while (answered_before_ < position && !closing_) {
        co_await overlapped_changed_.async_wait(tuple_awaitable);
    }
}

awaitable<void> caller_connection::wait_for_overlapped_answers() {
    while (!overlapped_.empty()) {
        co_await overlapped_changed_.async_wait(tuple_awaitable);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (state.cancelled() != net::cancellation_type::none) {
            co_return;
        }
    }
}

// Nothing more is read from the connection, but the caller can still close it before all answers are sent.
awaitable<void> caller_connection::finish_overlapped() {
    using namespace net::experimental::awaitable_operators;
    if (!overlapped_.empty() && !closing_) {
        const auto first = co_await (wait_for_overlapped_answers() || wait_for_caller_close());
        if (first.index() == 1) {
            cancel_overlapped();
        }
    }
    co_await wait_for_overlapped_answers();
}

void caller_connection::terminate_exchanges() {
    terminating_ = true;
    termination_requested_.cancel();
    const auto running = overlapped_;
    for (const auto& request : running) {
        if (!request->answer_started) {
            request->cancel.emit(net::cancellation_type::terminal);
        }
    }
}

// Closing the connection would also discard later requests, some of which may already have run.
bool caller_connection::should_close_after_answer() const {
    return context_->draining && overlapped_.size() <= 1;
}

}  // namespace teaselpitch
