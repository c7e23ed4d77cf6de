#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/clock.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Names of the header fields that carry base64-encoded messages of core/wire/peer.proto.
constexpr std::string_view request_field = "teaselpitch-request-bin";
constexpr std::string_view response_field = "teaselpitch-response-bin";
constexpr std::string_view result_field = "teaselpitch-result-bin";
/// Field with the status of a failed control call: code and message, base64-encoded.
constexpr std::string_view status_field = "teaselpitch-status-bin";

/// Encodes a request head. The deadline is sent as the time remaining at `now`.
std::string encode_request(const request_head& head, steady_time now);
/// Decodes a request head; the deadline becomes `now` plus the remaining time. INVALID_ARGUMENT: malformed.
absl::StatusOr<request_head> decode_request(std::string_view field, steady_time now);

std::string encode_response(const response_head& head);
absl::StatusOr<response_head> decode_response(std::string_view field);

std::string encode_result(const exchange_result& result);
/// Decodes a result. INVALID_ARGUMENT: malformed, or the name of the error or execution state is unknown. A
/// default for an unknown name could report a request as not run that was run.
absl::StatusOr<exchange_result> decode_result(std::string_view field);

/// Returns the message of a status as std::string_view; absl::string_view can be a different type.
inline std::string_view status_message(const absl::Status& status) {
    return {status.message().data(), status.message().size()};
}

std::string encode_status(const absl::Status& status);
absl::Status decode_status(std::string_view field);

}  // namespace teaselpitch
