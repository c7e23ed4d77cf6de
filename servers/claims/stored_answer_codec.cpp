#include "servers/claims/stored_answer_codec.h"

namespace teaselpitch {

namespace {

// Reference count and heap overhead of an answer, as measured by teaselpitch-bench-claims.
constexpr std::size_t answer_overhead_bytes = 64;

}  // namespace

std::size_t estimate_answer_bytes(const stored_answer& answer) {
    std::size_t bytes = sizeof(stored_answer) + answer_overhead_bytes + answer.body.size() +
                        answer.head.reason.size() + answer.head.target.size();
    for (const header_field& field : answer.head.headers) {
        bytes += sizeof(header_field) + field.name.size() + field.value.size();
    }
    return bytes;
}

wire::StoredAnswer to_wire(const stored_answer& answer) {
    wire::StoredAnswer message;
    wire::ResponseHead& head = *message.mutable_head();
    head.set_status(answer.head.status);
    head.set_reason(answer.head.reason);
    head.set_has_body(answer.head.has_body);
    head.set_target(answer.head.target);
    if (answer.head.content_length) {
        head.set_content_length(*answer.head.content_length);
    }
    for (const header_field& field : answer.head.headers) {
        wire::HeaderField& out = *head.add_headers();
        out.set_name(field.name);
        out.set_value(field.value);
    }
    message.set_body(answer.body);
    return message;
}

stored_answer from_wire(const wire::StoredAnswer& message) {
    stored_answer answer;
    const wire::ResponseHead& head = message.head();
    answer.head.status = head.status();
    answer.head.reason = head.reason();
    answer.head.has_body = head.has_body();
    answer.head.target = head.target();
    if (head.has_content_length()) {
        answer.head.content_length = head.content_length();
    }
    for (const wire::HeaderField& field : head.headers()) {
        answer.head.headers.push_back({field.name(), field.value()});
    }
    answer.body = message.body();
    return answer;
}

}  // namespace teaselpitch
