#pragma once

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "drivers/http/http_client.h"
#include "tests/drivers/http/bulk_body.h"
#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {

// More than the socket buffers of both sides hold, so that the upload is still running when the answer ends.
constexpr std::size_t trial_upload_bytes = std::size_t{64} << 20;

enum class ending : std::uint8_t { none, close, reset };

struct trial {
    std::string answer;         ///< Bytes that the target sends.
    ending end = ending::none;  ///< What it does after them; none leaves the connection open.
    bool upload = false;        ///< The request has a body that the target does not read.
};

struct trial_result {
    exchange_result result;
    recording_writer writer;
    std::size_t idle_connections = 0;
};

/// Target that plays one trial on each connection.
class trial_bench {
public:
    trial_bench()
        : target_(context_,
                  [this](raw_connection& connection, int) -> awaitable<void> { co_await play(connection); }),
          client_(context_.get_executor(), target_.address, clock_, {.target_name = "t"}) {}

    trial_result run(const trial& row) {
        row_ = row;
        trial_result seen;
        run_on(context_, [&]() -> awaitable<void> {
            bulk_body body(row.upload ? trial_upload_bytes : 0);
            request_head head = make_head(clock_);
            head.non_idempotent = true;
            if (row.upload) {
                head.method = "POST";
                head.has_body = true;
                head.content_length = trial_upload_bytes;
            }
            seen.result = co_await client_.exchange(head, body, seen.writer);
        }());
        seen.idle_connections = client_.idle_connections();
        client_.close_idle();
        return seen;
    }

    absl::StatusOr<http_reply> call(const trial& row) {
        row_ = row;
        absl::StatusOr<http_reply> reply = absl::UnknownError("the call did not end");
        run_on(context_, [&]() -> awaitable<void> {
            http_request request;
            reply = co_await send_http_request(context_.get_executor(), target_.address, request,
                                               std::chrono::seconds(10));
        }());
        return reply;
    }

private:
    awaitable<void> play(raw_connection& connection) {
        const trial row = row_;
        std::string start(4, '\0');
        co_await net::async_read(connection.socket, net::buffer(start), net::use_awaitable);
        if (!row.upload) {
            co_await net::async_read_until(connection.socket, net::dynamic_buffer(start), "\r\n\r\n",
                                           net::use_awaitable);
        }
        // The client may reset the connection at the first malformed byte.
        co_await net::async_write(connection.socket, net::buffer(row.answer), tuple_awaitable);
        if (row.end == ending::none) {
            co_await connection.read_to_end();
        } else if (row.end == ending::reset) {
            reset_socket(connection.socket);
        }
    }

    net::io_context context_{1};
    system_time_source clock_;
    trial row_;
    fake_target target_;
    target_client client_;
};

}  // namespace teaselpitch::testing
