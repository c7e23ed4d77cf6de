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

/// One header field. Names are case-insensitive.
struct header_field {
    std::string name;
    std::string value;
};

/// Returns the value of the first field with this name; empty without such a field.
std::optional<std::string_view> find_header(std::span<const header_field> headers, std::string_view name);

/// A request without its body, as passed from the ingress to the target.
struct request_head {
    std::string method;
    std::string path;                             ///< Path and query as sent by the caller.
    std::string host;                             ///< Host header without the port.
    std::vector<header_field> headers;            ///< End-to-end fields only, without hop-by-hop fields.
    std::optional<std::uint64_t> content_length;  ///< Bytes; empty for a chunked body.
    bool has_body = false;
    /// The ingress has not received the whole body, so that its end depends on the caller.
    bool body_arriving = false;

    std::uint32_t caller = 0;     ///< Hash of the caller's address; 0 is unknown.
    std::string request_id;       ///< Unique for each request sent by a caller.
    std::string service;          ///< Set by routing.
    std::string account;          ///< Client account; empty when the caller sends none.
    std::string idempotency_key;  ///< Empty when the caller sends none.
    bool first_send = false;      ///< The caller marked this request as the first one with its key.
    bool non_idempotent = false;  ///< Set by the method or by the route's table row.
    steady_time deadline;         ///< On the clock of the local process.

    std::uint64_t fingerprint = 0;  ///< Hash that identifies equal requests; 0 before routing.
    std::string caller_service;     ///< Service of the instance at which the request entered the fleet.
    std::uint32_t rank = 0;         ///< Priority of the route; 0 is the highest.
    std::uint64_t work_class = 0;   ///< Hash of the route, whose requests have similar service times.
    steady_time
        objective;  ///< An answer after this time is late; the clock's epoch when there is no objective.
    /// True when no other target is left, so that the gate accepts the request although its target is
    /// suspect.
    bool last_resort = false;
    /// True when the gate may queue the request. Otherwise it refuses the request when no slot is free.
    bool may_queue = true;

    /// True when a target received the request before, so that this attempt consumes the fleet's retry
    /// budget.
    bool is_retry = false;
    /// Probability, 0 to 1, that a retry at another service caused this request.
    double inherited_retry_probability = 0;

    target_identity target;     ///< Chosen target; empty at the ingress and for keyed requests.
    std::uint32_t detours = 0;  ///< Number of nodes between the ingress and the gate, at most one.
};

struct response_head {
    unsigned status = 0;
    std::string reason;
    std::vector<header_field> headers;  ///< End-to-end fields only.
    std::optional<std::uint64_t> content_length;
    bool has_body = true;  ///< False for answers to HEAD and for 204 and 304.
    std::string target;    ///< Name of the answering target.
};

/// Report of a gate about its target, attached to each answer.
struct load_report {
    std::string target;
    std::uint32_t slots = 0;    ///< Maximum number of concurrent requests at the target.
    std::uint32_t running = 0;  ///< Requests that the target is processing.
    std::uint32_t queued = 0;   ///< Requests in the gate's queue.
    double outlier_score = 0;   ///< Verdict of the gate: 0 is healthy, 1 or more triggers ejection.
    bool leaving = false;
    bool suspect =
        false;  ///< The target failed its latest requests; other targets are preferred for a short time.
    // The fields below are set only by gates with routing.cost_aware.
    double expected_wait_ms = 0;  ///< Until a slot is free for a new request; 0 while one is.
    double speed = 0;             ///< Of the target, 1 is normal; 0 when the gate does not estimate it.
    std::chrono::microseconds run_time{0};   ///< Of this request at the target; 0 unless it succeeded.
    std::chrono::microseconds gate_time{0};  ///< Of this request at the gate, with its wait; 0 when unknown.
};

/// Result of an exchange.
struct exchange_result {
    error_kind error = error_kind::none;
    execution_state execution = execution_state::run;
    bool head_written = false;    ///< The answer has started, so that no other attempt can replace it.
    bool target_crashed = false;  ///< The connection was lost after the request was sent.
    /// The connection was lost after the request was sent, but the target still accepts connections. Not sent
    /// to other nodes.
    bool answer_lost = false;
    unsigned answer_status = 0;  ///< HTTP status of the target's answer; 0 without an answer.
    std::string detail;          ///< One sentence for logs and the explain query.
    std::optional<load_report> load;
    std::optional<std::chrono::milliseconds> retry_after;
    /// Value of the field Teaselpitch-Slot-Epoch, which marks a new first request with a key whose slot was
    /// taken over by another holder; 0 without the field.
    std::uint64_t slot_epoch = 0;
};

/// Returns a failure result with the default execution state of the error kind.
exchange_result failed_exchange(error_kind kind, std::string_view detail);

/// Returns true when a gate has sent the request to its target, whether the target received, refused or did
/// not get it.
bool reached_target(const exchange_result& result);

/// Returns true when a target answered with a server error (status 500 or above).
bool is_server_error_answer(const exchange_result& result);

/// Body of a request, read on demand. The sender is throttled by backpressure until the body is read.
class body_reader {
public:
    virtual ~body_reader() = default;

    /// Reads at most buffer.size() bytes and returns their number; 0 is the end of a complete body. An error
    /// means that the body was truncated or exceeded a limit, and the request must not be forwarded as
    /// complete.
    virtual awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) = 0;

protected:
    body_reader() = default;
    body_reader(const body_reader&) = default;
    body_reader& operator=(const body_reader&) = default;
};

/// Receiver of an answer. Each call completes when the bytes are accepted, which applies backpressure to the
/// source.
class response_writer {
public:
    virtual ~response_writer() = default;

    virtual awaitable<absl::Status> write_head(const response_head& head) = 0;
    virtual awaitable<absl::Status> write_body(std::span<const std::byte> data) = 0;

    /// Marks the answer as complete.
    virtual awaitable<absl::Status> finish() = 0;

    /// Aborts the answer, so that it cannot be mistaken for a complete one.
    virtual void abort() = 0;

protected:
    response_writer() = default;
    response_writer(const response_writer&) = default;
    response_writer& operator=(const response_writer&) = default;
};

/// Interface of components that answer requests: ingress, peer client, gate and target client.
///
/// All calls of one exchange run on one executor. A handler that fails before it writes a head does not use
/// the writer and reads no further body bytes. A handler that fails after the head calls abort(). Cancelling
/// the awaiting coroutine (terminal cancellation) cancels the exchange.
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
