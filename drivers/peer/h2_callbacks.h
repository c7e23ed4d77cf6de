#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>

namespace teaselpitch {

class h2_session;

/// The callbacks of nghttp2 for one session. None of them calls back into nghttp2's send or receive
/// functions.
struct h2_callbacks {
    /// Creates the nghttp2 session of this role with all callbacks set.
    static nghttp2_session* create(h2_session& session, bool server);

    /// Reads queued body bytes of the h2_stream in source->ptr.
    static ssize_t read_body(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                             void* user);

private:
    static int begin_headers(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int header(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t flags, void* user);
    static int frame_received(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int data_received(nghttp2_session* session, std::uint8_t flags, std::int32_t id,
                             const std::uint8_t* data, std::size_t length, void* user);
    static int stream_closed(nghttp2_session* session, std::int32_t id, std::uint32_t error_code, void* user);
    static int before_send(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int not_sent(nghttp2_session* session, const nghttp2_frame* frame, int error, void* user);
};

}  // namespace teaselpitch
