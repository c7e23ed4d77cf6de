#include "drivers/log/log_client.h"

#include <optional>
#include <utility>

#include "core/json.h"
#include "drivers/log/log_http_client.h"

namespace teaselpitch {
namespace {

std::optional<std::uint64_t> parse_offset(const std::string& body) {
    boost::json::error_code error;
    const boost::json::value answer = boost::json::parse(body, error);
    if (error || !answer.is_object()) {
        return std::nullopt;
    }
    const boost::json::value* offset = answer.as_object().if_contains("offset");
    if (offset == nullptr || !offset->is_number()) {
        return std::nullopt;
    }
    const auto number = offset->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional<std::uint64_t>(number);
}

std::string describe_status(const log_http::response& answer) {
    return "the log answered with status " + std::to_string(answer.status);
}

// A client error (4xx) proves that the record was not stored. A server error may come from an intermediary
// after the record was stored.
bool is_definite_refusal(unsigned status) {
    return status >= 400 && status < 500;
}

}  // namespace

log_client::log_client(log_client_settings settings) : settings_(std::move(settings)) {}

awaitable<append_outcome> log_client::append(std::string record) {
    log_http::request request{"POST", "/v1/streams/" + settings_.stream + "/records", std::move(record)};
    const auto answer =
        co_await log_http::send_request(settings_.address, std::move(request), settings_.answer_timeout);
    if (!answer.answered) {
        co_return append_outcome{answer.sent ? append_state::unknown : append_state::refused, 0,
                                 answer.detail};
    }
    if (answer.status == 200) {
        if (const auto offset = parse_offset(answer.body)) {
            co_return append_outcome{append_state::stored, *offset, ""};
        }
        co_return append_outcome{append_state::unknown, 0, "the acknowledgement of the log has no offset"};
    }
    co_return append_outcome{
        is_definite_refusal(answer.status) ? append_state::refused : append_state::unknown, 0,
        describe_status(answer)};
}

awaitable<absl::StatusOr<wire::LogBatch>> log_client::read(std::uint64_t from, std::uint32_t max,
                                                           std::chrono::milliseconds wait) {
    log_http::request request;
    request.target = "/v1/streams/" + settings_.stream + "/records?from=" + std::to_string(from) +
                     "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = co_await log_http::send_request(settings_.address, std::move(request),
                                                        settings_.answer_timeout + wait);
    if (!answer.answered) {
        co_return absl::UnavailableError(answer.detail);
    }
    if (answer.status != 200) {
        co_return absl::UnavailableError(describe_status(answer));
    }
    wire::LogBatch batch;
    if (!batch.ParseFromString(answer.body)) {
        co_return absl::DataLossError("the answer of the log is not a valid batch");
    }
    co_return batch;
}

}  // namespace teaselpitch
