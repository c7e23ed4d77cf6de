#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/error_kind.h"
#include "core/identity.h"

namespace teaselpitch {

template <typename T>
using awaitable = boost::asio::awaitable<T>;

/// One header field; names compare without regard to case.
struct header_field {
    std::string name;
    std::string value;
};

/// The value of the first field with this name; empty when there is none.
std::optional<std::string_view> find_header(std::span<const header_field> headers, std::string_view name);

/// A request without its body, as it travels from the ingress to the target.
struct request_head {
    std::string method;
    std::string path;                             ///< Path and query as the caller sent them.
    std::string host;                             ///< Host header without the port.
    std::vector<header_field> headers;            ///< End-to-end fields only; hop-by-hop fields are removed.
    std::optional<std::uint64_t> content_length;  ///< Bytes; empty for a chunked body.
    bool has_body = false;

    std::string request_id;       ///< Unique for each submission by a caller.
    std::string service;          ///< Set by routing.
    std::string account;          ///< Empty when the caller names none.
    std::string idempotency_key;  ///< Empty when the caller names none.
    bool first_send = false;      ///< The caller marked this as the first send of its key.
    bool non_idempotent = false;  ///< By method or by the route's row.
    steady_time deadline;         ///< On the clock of the process that holds this head.

    std::uint64_t fingerprint = 0;  ///< Hash that recognises equal requests; 0 before routing.
    std::string caller_service;     ///< Service of the instance where the request entered the fleet.
    std::uint32_t rank = 0;         ///< Priority of the route; 0 goes first.
    std::uint64_t work_class = 0;   ///< Hash of the route: its requests take about the same time.
    steady_time objective;          ///< An answer after this time is late; the clock's epoch for none.
    /// No other target is left: the gate takes the request although its target is suspect.
    bool last_resort = false;
    /// The gate may queue the request; otherwise it refuses at once when no slot is free.
    bool may_queue = true;

    /// A target got the request before, so that this send draws on the fleet's budget of repeats.
    bool repeat = false;
    /// Chance that a repeated run of another service called for this request, 0 to 1.
    double inherited_repeat = 0;

    target_identity target;     ///< The chosen target; empty at the ingress and for keyed requests.
    std::uint32_t detours = 0;  ///< Nodes between the ingress and the gate; at most one.
};

struct response_head {
    unsigned status = 0;
    std::string reason;
    std::vector<header_field> headers;  ///< End-to-end fields only.
    std::optional<std::uint64_t> content_length;
    bool has_body = true;  ///< False for answers to HEAD and for 204 and 304.
    std::string target;    ///< Name of the target that answered.
};

/// What the gate says about its target; rides back on each answer.
struct load_report {
    std::string target;
    std::uint32_t slots = 0;    ///< Concurrent requests that the target takes.
    std::uint32_t running = 0;  ///< Requests that run now.
    std::uint32_t queued = 0;   ///< Requests in the gate's queue.
    double badness = 0;         ///< The gate's verdict: 0 is healthy, 1 or more asks for ejection.
    bool leaving = false;
    bool suspect = false;  ///< The target failed its latest work; other targets go first for a moment.
};

/// How an exchange ended.
struct exchange_result {
    error_kind error = error_kind::none;
    execution_state execution = execution_state::run;
    bool head_written = false;    ///< When true, the answer cannot be replaced by another attempt.
    bool target_crashed = false;  ///< The connection broke after the request was sent.
    unsigned answer_status = 0;   ///< HTTP status of the target's answer; 0 without one.
    std::string detail;           ///< One sentence for logs and explain.
    std::optional<load_report> load;
    std::optional<std::chrono::milliseconds> retry_after;
    /// Value of Teaselpitch-Slot-Epoch: marks a new first send of a key whose slot was taken over; 0 for
    /// none.
    std::uint64_t slot_epoch = 0;
};

/// The failure result with the default execution state of its kind.
exchange_result failed_exchange(error_kind kind, std::string_view detail);

/// True when the request reached a target, also one that refused it, or may have.
bool reached_target(const exchange_result& result);

/// True when a target answered that it failed.
bool is_failed_answer(const exchange_result& result);

/// Body of a request, read on demand. Not reading is what holds the sender back.
class body_reader {
public:
    virtual ~body_reader() = default;

    /// Reads at most buffer.size() bytes; 0 is the end of a whole body. An error means that the body
    /// ended early or broke a limit and the request must not be passed on as whole.
    virtual awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) = 0;

protected:
    body_reader() = default;
    body_reader(const body_reader&) = default;
    body_reader& operator=(const body_reader&) = default;
};

/// Receiver of an answer. Each call returns when the bytes are accepted, which holds the source back.
class response_writer {
public:
    virtual ~response_writer() = default;

    virtual awaitable<absl::Status> write_head(const response_head& head) = 0;
    virtual awaitable<absl::Status> write_body(std::span<const std::byte> data) = 0;

    /// Marks the answer as whole.
    virtual awaitable<absl::Status> finish() = 0;

    /// Breaks the answer off, so that it cannot be taken for a whole one.
    virtual void abort() = 0;

protected:
    response_writer() = default;
    response_writer(const response_writer&) = default;
    response_writer& operator=(const response_writer&) = default;
};

/// Anything that can answer a request: ingress, peer client, gate, target client.
///
/// All calls of one exchange run on one executor. A handler that fails before it wrote a head leaves the
/// writer untouched and unread body bytes unread. After the head a failing handler calls abort().
/// Cancelling the awaiting coroutine (terminal cancellation) cancels the exchange.
class exchange_handler {
public:
    virtual ~exchange_handler() = default;

    virtual awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                                response_writer& writer) = 0;

protected:
    exchange_handler() = default;
    exchange_handler(const exchange_handler&) = default;
    exchange_handler& operator=(const exchange_handler&) = default;
};

}  // namespace teaselpitch
