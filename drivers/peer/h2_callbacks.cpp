#include "drivers/peer/h2_callbacks.h"

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/peer/h2_session.h"

namespace teaselpitch {
namespace {

// Limit for all header fields of one stream. The header of a caller's request has at most 16 KiB.
constexpr std::size_t max_stream_field_bytes = 131'072;
/// Memory of a field besides its name and value: a field of one byte on the wire takes as much.
constexpr std::size_t field_overhead_bytes = sizeof(h2_fields::value_type);

h2_session& session_from(void* user) {
    return *static_cast<h2_session*>(user);
}

bool ends_stream(const nghttp2_frame& frame) {
    return (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

void submit_trailer(nghttp2_session* session, std::int32_t id, const h2_fields& fields) {
    std::vector<nghttp2_nv> values;
    for (const auto& [name, value] : fields) {
        values.push_back({const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(name.data())),
                          const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(value.data())),
                          name.size(), value.size(), NGHTTP2_NV_FLAG_NO_INDEX});
    }
    nghttp2_submit_trailer(session, id, values.data(), values.size());
}

}  // namespace

nghttp2_session* h2_callbacks::create_session(h2_session& session, const h2_session_options& options) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame_received);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_closed);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, before_frame_send);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, on_frame_not_sent);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    // nghttp2 queues the GOAWAY of its own limit unseen, so the session's limit must be reached first.
    const std::uint64_t reset_limit = std::uint64_t{2} * options.max_stream_resets_per_second;
    nghttp2_option_set_stream_reset_rate_limit(option, reset_limit, reset_limit);
    nghttp2_session* created = nullptr;
    if (options.role == h2_role::server) {
        nghttp2_session_server_new2(&created, callbacks, &session, option);
    } else {
        nghttp2_session_client_new2(&created, callbacks, &session, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    return created;
}

int h2_callbacks::on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        h2_session& owner = session_from(user);
        auto stream = std::make_shared<h2_stream>(owner.socket_.get_executor());
        stream->id = frame->hd.stream_id;
        owner.add_stream(stream);
    }
    return 0;
}

int h2_callbacks::on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                            const std::uint8_t* name, std::size_t name_length, const std::uint8_t* value,
                            std::size_t value_length, std::uint8_t /*flags*/, void* user) {
    h2_stream* stream = session_from(user).find_stream(frame->hd.stream_id);
    if (stream != nullptr) {
        stream->field_bytes += name_length + value_length + field_overhead_bytes;
        if (stream->field_bytes > max_stream_field_bytes) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        h2_fields& fields = stream->head_received ? stream->trailer : stream->head;
        fields.emplace_back(std::string(reinterpret_cast<const char*>(name), name_length),
                            std::string(reinterpret_cast<const char*>(value), value_length));
    }
    return 0;
}

int h2_callbacks::on_frame_received(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    h2_session& owner = session_from(user);
    if (frame->hd.type == NGHTTP2_SETTINGS && (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) {
        owner.settings_received_ = true;
        owner.input_received_.notify();
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        owner.going_away_ = true;
    }
    if (frame->hd.type == NGHTTP2_RST_STREAM) {
        owner.count_stream_reset();
    }
    const auto found = owner.streams_.find(frame->hd.stream_id);
    if (found == owner.streams_.end()) {
        return 0;
    }
    const std::shared_ptr<h2_stream> stream = found->second;
    if ((frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) && ends_stream(*frame)) {
        stream->remote_ended = true;
    }
    if (frame->hd.type == NGHTTP2_HEADERS && !stream->head_received) {
        stream->head_received = true;
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            owner.accept_request(stream);
        }
    }
    stream->changed.notify();
    return 0;
}

int h2_callbacks::on_data_received(nghttp2_session* session, std::uint8_t /*flags*/, std::int32_t id,
                                   const std::uint8_t* data, std::size_t length, void* user) {
    // The connection window is restored at once, so a stream that is not read blocks no other stream.
    nghttp2_session_consume_connection(session, length);
    h2_stream* stream = session_from(user).find_stream(id);
    if (stream != nullptr) {
        stream->inbound.push(std::as_bytes(std::span(data, length)));
        stream->changed.notify();
    }
    return 0;
}

int h2_callbacks::on_stream_closed(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t error_code,
                                   void* user) {
    session_from(user).close_stream(id, error_code);
    return 0;
}

int h2_callbacks::before_frame_send(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    h2_stream* stream =
        frame->hd.type == NGHTTP2_HEADERS ? session_from(user).find_stream(frame->hd.stream_id) : nullptr;
    if (stream != nullptr && !stream->head_sent) {
        stream->head_sent = true;
        stream->changed.notify();
    }
    return 0;
}

int h2_callbacks::on_frame_not_sent(nghttp2_session* session, const nghttp2_frame* frame, int /*error*/,
                                    void* user) {
    h2_session& owner = session_from(user);
    h2_stream* stream = frame->hd.type == NGHTTP2_HEADERS ? owner.find_stream(frame->hd.stream_id) : nullptr;
    if (stream == nullptr) {
        return 0;
    }
    if (owner.options_.role == h2_role::server) {
        // Without the reset, a response head above the size limit would leave its stream open.
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_INTERNAL_ERROR);
    } else if (!stream->head_sent) {
        owner.close_stream(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    }
    return 0;
}

ssize_t h2_callbacks::read_body(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer,
                                std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                                void* /*user*/) {
    h2_stream& stream = *static_cast<h2_stream*>(source->ptr);
    if (stream.aborted) {
        stream.outbound.clear();
    }
    const std::size_t count = stream.outbound.pop(std::as_writable_bytes(std::span(buffer, length)));
    if (count > 0) {
        stream.changed.notify();
    }
    if (stream.outbound.empty() && stream.local_ended) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        if (stream.trailer_to_send.has_value()) {
            *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
            submit_trailer(session, id, *stream.trailer_to_send);
        }
        return static_cast<ssize_t>(count);
    }
    return count > 0 ? static_cast<ssize_t>(count) : static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED);
}

}  // namespace teaselpitch
