#include "main/load/answer_check.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "core/json.h"
#include "main/standin_target/answer_pattern.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

constexpr std::string_view key_parameter = "?key=";

std::string get_header_value(const http_reply& reply, std::string_view name) {
    return std::string(find_header(reply.headers, name).value_or(""));
}

std::string get_string_field(const json::object& object, std::string_view name) {
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// The stand-in target answers a POST with a description of the request that it received.
bool echo_matches(const http_request& request, const http_reply& reply, call_record& call) {
    json::error_code error;
    const json::value parsed = json::parse(reply.body, error);
    if (error || !parsed.is_object()) {
        return false;
    }
    const json::object& echo = parsed.get_object();
    const std::string path = get_string_field(echo, "path");
    if (const std::size_t key_position = path.find(key_parameter); key_position != std::string::npos) {
        call.answer_key = path.substr(key_position + key_parameter.size());
    }
    const std::string digest =
        absl::StrCat(absl::Hex(XXH3_64bits(request.body.data(), request.body.size()), absl::kZeroPad16));
    return path == request.path && get_string_field(echo, "method") == request.method &&
           get_string_field(echo, "body_digest") == digest &&
           get_string_field(echo, "call_id") == call.answer_for;
}

bool body_matches(const http_request& request, const http_reply& reply, call_record& call) {
    if (reply.status != 200) {
        return reply.body == "injected error\n" || reply.body == "no free slot\n";
    }
    if (request.method == "GET") {
        const std::size_t size = std::stoul(request.path.substr(request.path.find('=') + 1));
        return reply.body == answer_pattern(call.call_id, 0, size);
    }
    return echo_matches(request, reply, call);
}

}  // namespace

http_request make_call_request(const planned_request& planned, const load_options& options) {
    http_request request;
    request.method = planned.is_post ? "POST" : "GET";
    request.path = "/work";
    request.headers = {{"Host", options.hosts.at(planned.host)}, {"X-Call-Id", planned.call_id}};
    request.headers.push_back({"Teaselpitch-Timeout-Ms", std::to_string(options.timeout.count())});
    if (!options.account.empty()) {
        request.headers.push_back({"Teaselpitch-Account", options.account});
    }
    if (!planned.is_post) {
        request.path += "?bytes=" + std::to_string(options.body_bytes);
        return request;
    }
    const std::string& owner = planned.key.empty() ? planned.call_id : planned.key;
    request.body = answer_pattern(owner, 0, options.body_bytes);
    if (!planned.key.empty()) {
        request.path.append(key_parameter).append(planned.key);
        request.headers.push_back({"Idempotency-Key", planned.key});
        if (planned.is_first) {
            request.headers.push_back({"Teaselpitch-Attempt", "1"});
        }
    }
    return request;
}

void evaluate_answer(const http_request& request, const http_reply& reply, call_record& call) {
    call.status = reply.status;
    call.whole = true;
    call.error = get_header_value(reply, "Teaselpitch-Error");
    call.execution = parse_execution_state(get_header_value(reply, "Teaselpitch-Execution"))
                         .value_or(execution_state::unknown);
    call.answer_for = get_header_value(reply, "X-Call-Id");
    if (call.error.empty()) {
        call.body_matches = body_matches(request, reply, call);
    }
}

std::string get_service_name(const std::string& host) {
    return host.substr(0, host.find('.'));
}

}  // namespace teaselpitch
