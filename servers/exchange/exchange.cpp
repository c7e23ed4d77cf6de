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

exchange_result failed_exchange(error_kind kind, std::string_view detail) {
    exchange_result result;
    result.error = kind;
    result.execution = answer_of(kind).execution;
    result.detail = detail;
    const error_answer& answer = answer_of(kind);
    if (answer.retry_after.count() > 0) {
        result.retry_after = answer.retry_after;
    }
    return result;
}

}  // namespace teaselpitch
