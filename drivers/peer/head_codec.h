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
/// Status of a failed control call: code and message, base64-encoded.
constexpr std::string_view status_field = "teaselpitch-status-bin";

/// Encodes a request head; the deadline becomes the time that remains at `now`.
std::string encode_request(const request_head& head, steady_time now);
/// Decodes a request head; the deadline is `now` plus the time that remains.
absl::StatusOr<request_head> decode_request(std::string_view field, steady_time now);

std::string encode_response(const response_head& head);
absl::StatusOr<response_head> decode_response(std::string_view field);

std::string encode_result(const exchange_result& result);
/// Decodes a result. An error or execution state with an unknown name is refused, because guessing could
/// report a request as not run.
absl::StatusOr<exchange_result> decode_result(std::string_view field);

/// The message of a status; Abseil's own view type differs from the standard one.
inline std::string_view message_of(const absl::Status& status) {
    return {status.message().data(), status.message().size()};
}

std::string encode_status(const absl::Status& status);
absl::Status decode_status(std::string_view field);

}  // namespace teaselpitch
