#include "main/standin_target/standin_work.h"

#include <xxhash.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <memory>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/error_reply.h"
#include "main/standin_target/answer_pattern.h"
#include "main/standin_target/standin_target.h"

namespace teaselpitch {
namespace {

constexpr std::size_t chunk_size_bytes = std::size_t{64} * 1024;
/// Interval at which a busy worker checks whether its request was cancelled.
constexpr std::chrono::milliseconds cancellation_check_interval{5};
constexpr std::size_t max_control_body_bytes = std::size_t{64} * 1024;

std::optional<std::uint64_t> parse_query_number(const std::map<std::string, std::string>& query,
                                                const char* name) {
    const auto found = query.find(name);
    std::uint64_t value = 0;
    if (found == query.end() ||
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value).ec !=
            std::errc{}) {
        return std::nullopt;
    }
    return value;
}

exchange_result make_answered_result() {
    exchange_result result;
    result.head_written = true;
    return result;
}

/// Occupies a slot for the duration of a scope; releases it also when the coroutine is cancelled.
class slot_guard {
public:
    explicit slot_guard(std::uint32_t& running) : running_(running) { ++running_; }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;
    ~slot_guard() { --running_; }

private:
    std::uint32_t& running_;
};

/// Records the end of an execution when the scope ends: as cancelled unless `completed` was set.
class scoped_execution {
public:
    scoped_execution(execution_log& log, std::uint64_t sequence) : log_(log), sequence_(sequence) {}
    scoped_execution(const scoped_execution&) = delete;
    scoped_execution& operator=(const scoped_execution&) = delete;
    ~scoped_execution() { log_.record_end(sequence_, completed ? "completed" : "cancelled"); }

    bool completed = false;

private:
    execution_log& log_;
    std::uint64_t sequence_;
};

}  // namespace

struct standin_work::request {
    const request_head& head;
    body_reader& body;
    response_writer& writer;
    std::string path;
    std::map<std::string, std::string> query;
    std::string call_id;
    std::uint64_t body_bytes = 0;
    std::uint64_t body_digest = 0;

    awaitable<exchange_result> reply(unsigned status, std::string type, std::string text,
                                     std::vector<header_field> headers);
    awaitable<bool> read_body();
};

awaitable<exchange_result> standin_work::request::reply(unsigned status, std::string type, std::string text,
                                                        std::vector<header_field> headers) {
    response_head answer;
    answer.status = status;
    answer.reason = std::string(http::obsolete_reason(static_cast<http::status>(status)));
    answer.headers = std::move(headers);
    answer.headers.push_back({"Content-Type", std::move(type)});
    answer.content_length = text.size();
    answer.has_body = head.method != "HEAD";
    absl::Status written = co_await writer.write_head(answer);
    if (written.ok() && answer.has_body) {
        written = co_await writer.write_body(std::as_bytes(std::span<const char>(text)));
    }
    if (written.ok()) {
        written = co_await writer.finish();
    }
    exchange_result result = make_answered_result();
    if (!written.ok()) {
        writer.abort();
        result.error = error_kind::answer_broken;
    }
    co_return result;
}

awaitable<bool> standin_work::request::read_body() {
    std::vector<std::byte> chunk(chunk_size_bytes);
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> state(XXH3_createState(),
                                                                                XXH3_freeState);
    XXH3_64bits_reset(state.get());
    // A target that reads slowly: /work?read_bytes_per_s=N.
    const std::uint64_t bytes_per_s = parse_query_number(query, "read_bytes_per_s").value_or(0);
    net::steady_timer pause(co_await net::this_coro::executor);
    for (;;) {
        const absl::StatusOr<std::size_t> size = co_await body.read_some(chunk);
        if (!size.ok()) {
            co_return false;
        }
        if (*size == 0) {
            body_digest = XXH3_64bits_digest(state.get());
            co_return true;
        }
        XXH3_64bits_update(state.get(), chunk.data(), *size);
        body_bytes += *size;
        if (bytes_per_s > 0) {
            pause.expires_after(std::chrono::nanoseconds(std::chrono::seconds(1)) * *size / bytes_per_s);
            co_await pause.async_wait(net::use_awaitable);
        }
    }
}

awaitable<exchange_result> standin_work::exchange(const request_head& head, body_reader& body,
                                                  response_writer& writer) {
    const std::size_t query_start = std::min(head.path.find('?'), head.path.size());
    request work{head, body, writer, head.path.substr(0, query_start), {}, {}};
    if (query_start < head.path.size()) {
        work.query = parse_query(std::string_view(head.path).substr(query_start + 1));
    }
    work.call_id = find_header(head.headers, "X-Call-Id").value_or("");
    if (work.path.starts_with("/_") && !(unresponsive && work.path == "/_health")) {
        co_return co_await handle_control_request(work);
    }
    co_return co_await handle_work_request(work);
}

awaitable<exchange_result> standin_work::handle_control_request(request& work) {
    admin_request request;
    request.method = work.head.method;
    request.path = work.path;
    request.query = work.query;
    std::vector<std::byte> chunk(chunk_size_bytes);
    std::size_t size = 1;
    while (size > 0 && request.body.size() < max_control_body_bytes) {
        const absl::StatusOr<std::size_t> read = co_await work.body.read_some(chunk);
        if (!read.ok()) {
            co_return failed_exchange(error_kind::malformed_request, "request body could not be read");
        }
        size = *read;
        request.body.append(reinterpret_cast<const char*>(chunk.data()), size);
    }
    admin_response response = co_await target_.handle_control(std::move(request));
    std::vector<header_field> headers;
    co_return co_await work.reply(response.status, response.content_type, response.body, headers);
}

awaitable<exchange_result> standin_work::handle_work_request(request& work) {
    const auto marker = find_header(work.head.headers, "X-Crash-Marker");
    if (marker.has_value() && !target_.faults.crash_marker.empty() &&
        *marker == target_.faults.crash_marker) {
        target_.executions.record_start(work.call_id, work.head.idempotency_key, target_.incarnation);
        // Posted instead of called, because the crash ends this coroutine.
        net::post(co_await net::this_coro::executor, [&target = target_] { target.crash(); });
        co_await wait(std::chrono::hours(1));
        co_return failed_exchange(error_kind::internal, "the target crashed");
    }
    if (target_.running >= target_.options.slots && !unresponsive) {
        std::vector<header_field> headers;
        headers.push_back({"X-Shed", "1"});
        co_return co_await work.reply(503, "text/plain", "no free slot\n", std::move(headers));
    }
    const slot_guard slot(target_.running);
    if (!co_await work.read_body()) {
        co_return failed_exchange(error_kind::malformed_request, "request body ended early");
    }
    co_return co_await run_work(work);
}

awaitable<exchange_result> standin_work::run_work(request& work) {
    scoped_execution record(
        target_.executions,
        target_.executions.record_start(work.call_id, work.head.idempotency_key, target_.incarnation));
    const bool faulty = target_.faults.work_faults_active(target_.clock.now());
    if (unresponsive || (target_.faults.hang && faulty)) {
        co_await wait(std::chrono::hours(1));
    }
    std::optional<std::chrono::milliseconds> requested_time;
    if (const auto requested_ms = parse_query_number(work.query, "ms")) {
        requested_time = std::chrono::milliseconds(*requested_ms);
    }
    co_await wait(target_.service_time_now(requested_time));
    exchange_result result;
    if (target_.should_inject_error()) {
        std::vector<header_field> headers;
        headers.push_back({"X-Call-Id", work.call_id});
        result = co_await work.reply(500, "text/plain", "injected error\n", std::move(headers));
    } else {
        result = co_await write_answer(work);
    }
    // Work whose answer was truncated by the injected fault counts as completed.
    record.completed = result.error == error_kind::none || target_.faults.truncate_answers;
    co_return result;
}

awaitable<void> standin_work::wait(std::chrono::nanoseconds time) {
    net::steady_timer timer(co_await net::this_coro::executor, time);
    if (target_.options.work_threads == 0 || time >= std::chrono::hours(1)) {
        co_await timer.async_wait(net::use_awaitable);
        co_return;
    }
    // Occupies a worker for the whole time; work queues while all workers are busy.
    const auto cancelled = std::make_shared<std::atomic<bool>>(false);
    const std::shared_ptr<void> cancellation_guard(nullptr, [cancelled](void*) { *cancelled = true; });
    const auto done =
        std::make_shared<net::steady_timer>(timer.get_executor(), net::steady_timer::time_point::max());
    net::post(target_.workers, [time, cancelled, done] {
        const auto end = std::chrono::steady_clock::now() + time;
        for (auto now = std::chrono::steady_clock::now(); now < end && !*cancelled;
             now = std::chrono::steady_clock::now()) {
            std::this_thread::sleep_for(
                std::min<std::chrono::nanoseconds>(cancellation_check_interval, end - now));
        }
        net::post(done->get_executor(), [done] { done->cancel(); });
    });
    co_await done->async_wait(tuple_awaitable);
}

awaitable<exchange_result> standin_work::write_answer(request& work) {
    std::vector<header_field> headers;
    headers.push_back({"X-Call-Id", work.call_id});
    headers.push_back({"X-Body-Digest", absl::StrCat(absl::Hex(work.body_digest, absl::kZeroPad16))});
    headers.push_back({"X-Target", target_.options.name});
    const std::string echo = "{\"method\":" + json_quote(work.head.method) +
                             ",\"path\":" + json_quote(work.head.path) +
                             ",\"call_id\":" + json_quote(work.call_id) + ",\"body_digest\":\"" +
                             headers[1].value + "\",\"body_bytes\":" + std::to_string(work.body_bytes) +
                             ",\"target\":" + json_quote(target_.options.name) +
                             ",\"incarnation\":" + std::to_string(target_.incarnation) + "}\n";
    const std::uint64_t size = parse_query_number(work.query, "bytes").value_or(echo.size());
    const bool uses_pattern = work.query.contains("bytes");
    const bool truncated =
        target_.faults.truncate_answers && target_.faults.work_faults_active(target_.clock.now());
    if (!uses_pattern && !truncated) {
        co_return co_await work.reply(200, "application/json", echo, std::move(headers));
    }
    response_head answer;
    answer.status = 200;
    answer.reason = "OK";
    answer.headers = std::move(headers);
    answer.content_length = size;
    answer.has_body = work.head.method != "HEAD";
    absl::Status status = co_await work.writer.write_head(answer);
    const std::uint64_t end = !answer.has_body ? 0 : truncated ? size / 2 : size;
    for (std::uint64_t sent = 0; status.ok() && sent < end;) {
        const std::size_t count = std::min<std::uint64_t>(chunk_size_bytes, end - sent);
        const std::string text =
            uses_pattern ? answer_pattern(work.call_id, sent, count) : echo.substr(sent, count);
        status = co_await work.writer.write_body(std::as_bytes(std::span<const char>(text)));
        sent += count;
    }
    if (truncated) {
        work.writer.abort();
    } else if (status.ok()) {
        status = co_await work.writer.finish();
    }
    exchange_result result = make_answered_result();
    if (!status.ok() || truncated) {
        result.error = error_kind::answer_broken;
    }
    co_return result;
}

}  // namespace teaselpitch
