#include "drivers/peer/head_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "core/wire/peer.pb.h"
#include "servers/exchange/field_syntax.h"

namespace teaselpitch {
namespace {

template <typename Message>
std::string encode_field(const Message& message) {
    return absl::Base64Escape(message.SerializeAsString());
}

template <typename Message>
std::optional<Message> decode_field(std::string_view field) {
    std::string bytes;
    Message message;
    if (!absl::Base64Unescape(absl::string_view(field.data(), field.size()), &bytes) ||
        !message.ParseFromString(bytes)) {
        return std::nullopt;
    }
    return message;
}

template <typename Message>
void write_headers(const std::vector<header_field>& headers, Message& message) {
    for (const header_field& field : headers) {
        wire::HeaderField* added = message.add_headers();
        added->set_name(field.name);
        added->set_value(field.value);
    }
}

template <typename Message>
std::vector<header_field> extract_headers(Message& message) {
    std::vector<header_field> headers;
    headers.reserve(static_cast<std::size_t>(message.headers_size()));
    for (wire::HeaderField& field : *message.mutable_headers()) {
        headers.push_back({std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    }
    return headers;
}

void write_load(const load_report& load, wire::LoadReport& message) {
    message.set_target(load.target);
    message.set_slots(load.slots);
    message.set_running(load.running);
    message.set_queued(load.queued);
    message.set_badness(load.outlier_score);
    message.set_suspect(load.suspect);
    message.set_leaving(load.leaving);
    message.set_expected_wait_ms(load.expected_wait_ms);
    message.set_speed(load.speed);
    message.set_run_us(static_cast<std::uint64_t>(load.run_time.count()));
    message.set_gate_us(static_cast<std::uint64_t>(load.gate_time.count()));
}

std::chrono::microseconds read_duration(std::uint64_t us) {
    // Prevents an overflow. No request takes longer.
    constexpr std::chrono::microseconds max_duration = std::chrono::hours{24};
    return std::chrono::microseconds(std::min(us, static_cast<std::uint64_t>(max_duration.count())));
}

load_report read_load(const wire::LoadReport& message) {
    return {.target = message.target(),
            .slots = message.slots(),
            .running = message.running(),
            .queued = message.queued(),
            .outlier_score = message.badness(),
            .leaving = message.leaving(),
            .suspect = message.suspect(),
            .expected_wait_ms = message.expected_wait_ms(),
            .speed = message.speed(),
            .run_time = read_duration(message.run_us()),
            .gate_time = read_duration(message.gate_us())};
}

}  // namespace

std::string encode_request(const request_head& head, steady_time now) {
    wire::RequestHead message;
    message.set_method(head.method);
    message.set_path(head.path);
    message.set_host(head.host);
    write_headers(head.headers, message);
    if (head.content_length.has_value()) {
        message.set_content_length(*head.content_length);
    }
    message.set_has_body(head.has_body);
    message.set_request_id(head.request_id);
    message.set_service(head.service);
    message.set_account(head.account);
    message.set_idempotency_key(head.idempotency_key);
    message.set_first_send(head.first_send);
    message.set_non_idempotent(head.non_idempotent);
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(head.deadline - now);
    message.set_remaining_us(static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)));
    message.mutable_target()->set_name(head.target.name);
    message.mutable_target()->set_incarnation(head.target.incarnation);
    message.set_detours(head.detours);
    message.set_fingerprint(head.fingerprint);
    message.set_caller_service(head.caller_service);
    message.set_rank(head.rank);
    if (head.objective != steady_time{}) {
        const auto left = std::chrono::duration_cast<std::chrono::microseconds>(head.objective - now);
        // 0 means that there is no objective, so one in the past is sent as 1 microsecond.
        message.set_objective_us(static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 1)));
    }
    message.set_work_class(head.work_class);
    message.set_last_resort(head.last_resort);
    message.set_no_queue(!head.may_queue);
    message.set_repeat(head.is_retry);
    message.set_inherited_repeat(head.inherited_retry_probability);
    message.set_body_arriving(head.body_arriving);
    message.set_caller(head.account.empty() ? head.caller : 0);
    return encode_field(message);
}

absl::StatusOr<request_head> decode_request(std::string_view field, steady_time now) {
    std::optional<wire::RequestHead> message = decode_field<wire::RequestHead>(field);
    // The limit prevents an overflow of the sum with the local clock. No route has a timeout above 24 hours.
    constexpr std::chrono::microseconds max_remaining = std::chrono::hours{24};
    if (!message.has_value()) {
        return absl::InvalidArgumentError("the request head cannot be decoded");
    }
    request_head head;
    head.method = std::move(*message->mutable_method());
    head.path = std::move(*message->mutable_path());
    head.host = std::move(*message->mutable_host());
    head.headers = extract_headers(*message);
    if (message->has_content_length()) {
        head.content_length = message->content_length();
    }
    head.has_body = message->has_body();
    head.request_id = std::move(*message->mutable_request_id());
    head.service = std::move(*message->mutable_service());
    head.account = std::move(*message->mutable_account());
    head.idempotency_key = std::move(*message->mutable_idempotency_key());
    head.first_send = message->first_send();
    head.non_idempotent = message->non_idempotent();
    const std::uint64_t remaining =
        std::min(message->remaining_us(), static_cast<std::uint64_t>(max_remaining.count()));
    head.deadline = now + std::chrono::microseconds(remaining);
    head.target = {message->target().name(), message->target().incarnation()};
    head.detours = message->detours();
    head.fingerprint = message->fingerprint();
    head.caller_service = std::move(*message->mutable_caller_service());
    head.rank = message->rank();
    if (message->objective_us() > 0) {
        const auto left =
            std::min(message->objective_us(), static_cast<std::uint64_t>(max_remaining.count()));
        head.objective = now + std::chrono::microseconds(left);
    }
    head.work_class = message->work_class();
    head.last_resort = message->last_resort();
    head.may_queue = !message->no_queue();
    head.is_retry = message->repeat();
    head.inherited_retry_probability = message->inherited_repeat();
    head.body_arriving = message->body_arriving();
    head.caller = message->caller();
    return head;
}

std::string encode_response(const response_head& head) {
    wire::ResponseHead message;
    message.set_status(head.status);
    message.set_reason(head.reason);
    write_headers(head.headers, message);
    if (head.content_length.has_value()) {
        message.set_content_length(*head.content_length);
    }
    message.set_has_body(head.has_body);
    message.set_target(head.target);
    return encode_field(message);
}

absl::StatusOr<response_head> decode_response(std::string_view field) {
    std::optional<wire::ResponseHead> message = decode_field<wire::ResponseHead>(field);
    if (!message.has_value()) {
        return absl::InvalidArgumentError("the response head cannot be decoded");
    }
    response_head head;
    head.status = message->status();
    head.reason = std::move(*message->mutable_reason());
    head.headers = extract_headers(*message);
    if (message->has_content_length()) {
        head.content_length = message->content_length();
    }
    head.has_body = message->has_body();
    head.target = std::move(*message->mutable_target());
    if (const auto error = find_response_error(head)) {
        return absl::InvalidArgumentError(*error);
    }
    return head;
}

std::string encode_result(const exchange_result& result) {
    wire::ExchangeResult message;
    message.set_error(std::string(get_error_answer(result.error).name));
    message.set_execution(std::string(to_string(result.execution)));
    message.set_target_crashed(result.target_crashed);
    message.set_detail(result.detail);
    if (result.load.has_value()) {
        write_load(*result.load, *message.mutable_load());
    }
    message.set_slot_epoch(result.slot_epoch);
    if (result.retry_after.has_value()) {
        message.set_retry_after_ms(static_cast<std::uint64_t>(result.retry_after->count()));
    }
    return encode_field(message);
}

absl::StatusOr<exchange_result> decode_result(std::string_view field) {
    std::optional<wire::ExchangeResult> message = decode_field<wire::ExchangeResult>(field);
    if (!message.has_value()) {
        return absl::InvalidArgumentError("the exchange result cannot be decoded");
    }
    const auto error = parse_error_kind(message->error());
    const auto execution = parse_execution_state(message->execution());
    if (!error.has_value() || !execution.has_value()) {
        return absl::InvalidArgumentError("the exchange result has an unknown error kind or execution state");
    }
    exchange_result result;
    result.error = *error;
    result.execution = *execution;
    result.target_crashed = message->target_crashed();
    result.detail = std::move(*message->mutable_detail());
    if (message->has_load()) {
        result.load = read_load(message->load());
    }
    result.slot_epoch = message->slot_epoch();
    if (message->has_retry_after_ms()) {
        result.retry_after = std::chrono::milliseconds(message->retry_after_ms());
    }
    return result;
}

std::string encode_status(const absl::Status& status) {
    return absl::Base64Escape(std::to_string(static_cast<int>(status.code())) + " " +
                              std::string(status.message()));
}

absl::Status decode_status(std::string_view field) {
    std::string text;
    if (!absl::Base64Unescape(absl::string_view(field.data(), field.size()), &text)) {
        return absl::InternalError("the status sent by the peer cannot be decoded");
    }
    const std::size_t space = text.find(' ');
    const int code = std::atoi(text.substr(0, space).c_str());
    constexpr int max_status_code = 16;
    if (space == std::string::npos || code < 1 || code > max_status_code) {
        return absl::InternalError("the status sent by the peer cannot be decoded");
    }
    return {static_cast<absl::StatusCode>(code), text.substr(space + 1)};
}

}  // namespace teaselpitch
