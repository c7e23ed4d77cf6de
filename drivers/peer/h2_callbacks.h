#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>

namespace teaselpitch {

class h2_session;
struct h2_session_options;

/// nghttp2 callbacks of an h2_session. None of them calls nghttp2's send or receive functions, which are not
/// reentrant.
struct h2_callbacks {
    /// Creates an nghttp2 server or client session with all callbacks set; the caller deletes it.
    static nghttp2_session* create_session(h2_session& session, const h2_session_options& options);

    /// Data source callback: moves queued outbound bytes of the h2_stream in source->ptr into the buffer.
    static ssize_t read_body(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                             void* user);

private:
    static int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int on_header(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t flags, void* user);
    static int on_frame_received(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int on_data_received(nghttp2_session* session, std::uint8_t flags, std::int32_t id,
                                const std::uint8_t* data, std::size_t length, void* user);
    static int on_stream_closed(nghttp2_session* session, std::int32_t id, std::uint32_t error_code,
                                void* user);
    static int before_frame_send(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int on_frame_not_sent(nghttp2_session* session, const nghttp2_frame* frame, int error, void* user);
};

}  // namespace teaselpitch
