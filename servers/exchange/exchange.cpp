#include "servers/exchange/exchange.h"

#include "absl/strings/match.h"

namespace teaselpitch {

std::optional<std::string_view> find_header(std::span<const header_field> headers, std::string_view name) {
    for (const header_field& field : headers) {
        if (absl::EqualsIgnoreCase(absl::string_view(field.name.data(), field.name.size()),
                                   absl::string_view(name.data(), name.size()))) {
            return field.value;
        }
    }
    return std::nullopt;
}

bool reached_target(const exchange_result& result) {
    // Only a gate reports a load. It has counted the request as an arrival before it found the target
    // unreachable.
    const bool unreachable_from_gate =
        result.error == error_kind::peer_unreachable && result.load.has_value();
    return unreachable_from_gate || result.execution != execution_state::not_run ||
           result.error == error_kind::target_refused || result.error == error_kind::wrong_target;
}

bool is_server_error_answer(const exchange_result& result) {
    constexpr unsigned first_server_error = 500;
    return result.error == error_kind::none && result.answer_status >= first_server_error;
}

exchange_result failed_exchange(error_kind kind, std::string_view detail) {
    exchange_result result;
    result.error = kind;
    result.execution = get_error_answer(kind).execution;
    result.detail = detail;
    const error_answer& answer = get_error_answer(kind);
    if (answer.retry_after.count() > 0) {
        result.retry_after = answer.retry_after;
    }
    return result;
}

}  // namespace teaselpitch
