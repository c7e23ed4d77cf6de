#include <nghttp2/nghttp2.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <limits>
#include <ostream>

#include "drivers/peer/head_codec.h"
#include "tests/drivers/peer/peer_fixture.h"

namespace teaselpitch {
namespace {

namespace asio = boost::asio;

/// Client that writes all frames of its streams before it reads, so that the server receives them together.
class raw_client {
public:
    raw_client() {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_closed);
        nghttp2_session_client_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client() { nghttp2_session_del(session_); }

    /// Adds a request to the output and returns its stream.
    std::int32_t submit(const std::string& path, const std::string& head) {
        const std::array<std::pair<std::string, std::string>, 5> fields{{{":method", "POST"},
                                                                         {":scheme", "http"},
                                                                         {":authority", "peer"},
                                                                         {":path", path},
                                                                         {std::string(request_field), head}}};
        std::array<nghttp2_nv, 5> values{};
        for (std::size_t i = 0; i < fields.size(); ++i) {
            const auto& [name, value] = fields[i];
            values[i] = {const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(name.data())),
                         const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(value.data())),
                         name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
        }
        const std::size_t count = head.empty() ? 4 : 5;
        const std::int32_t id =
            nghttp2_submit_request(session_, nullptr, values.data(), count, nullptr, nullptr);
        collect();
        return id;
    }

    void reset(std::int32_t id) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        collect();
    }

    /// Sends the output and reads until the condition is true or the server closes the connection.
    awaitable<void> run(endpoint server, std::function<bool()> done) {
        constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
        asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
        const asio::ip::tcp::endpoint target(asio::ip::make_address(server.address), server.port);
        co_await socket.async_connect(target, asio::use_awaitable);
        const std::string output = output_;
        co_await asio::async_write(socket, asio::buffer(output), as_result);
        std::vector<std::uint8_t> buffer(65'536);
        while (!done()) {
            const auto [error, count] = co_await socket.async_read_some(asio::buffer(buffer), as_result);
            if (error || nghttp2_session_mem_recv(session_, buffer.data(), count) < 0) {
                break;
            }
        }
    }

    std::int32_t last_stream_of_goaway = std::numeric_limits<std::int32_t>::max();
    bool goaway_received = false;
    std::size_t closed_streams = 0;  ///< Streams that the server has ended.

private:
    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
        auto& self = *static_cast<raw_client*>(user);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            self.goaway_received = true;
            self.last_stream_of_goaway = std::min(self.last_stream_of_goaway, frame->goaway.last_stream_id);
        }
        return 0;
    }

    static int on_stream_closed(nghttp2_session* /*session*/, std::int32_t /*id*/, std::uint32_t /*error*/,
                                void* user) {
        ++static_cast<raw_client*>(user)->closed_streams;
        return 0;
    }

    void collect() {
        const std::uint8_t* data = nullptr;
        for (ssize_t size = 0; (size = nghttp2_session_mem_send(session_, &data)) > 0;) {
            output_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
        }
    }

    nghttp2_session* session_ = nullptr;
    std::string output_;
};

struct reset_case {
    std::string name;
    std::size_t resets;
    std::optional<std::uint32_t> limit;  ///< Resets per second that the server accepts; its default if empty.
    bool goaway;
};
std::ostream& operator<<(std::ostream& out, const reset_case& value) {
    return out << value.name;
}

const std::vector<reset_case> reset_cases{
    {"no resets", 0, std::nullopt, false},
    {"1,200 resets, as many as clients that give up cause in seconds", 1'200, std::nullopt, false},
    {"5,000 resets", 5'000, std::nullopt, false},
    {"resets above the limit", 1'200, 10, true},
    {"resets far above the limit", 5'000, 10, true},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_stream_resets)

// Guards against a request that runs twice: the ingress sends a request again when GOAWAY excludes its
// stream, so the gate must not run it. Also guards against a connection that is ended because callers gave
// up their requests.
BOOST_DATA_TEST_CASE(streams_excluded_by_goaway_never_run, boost::unit_test::data::make(reset_cases),
                     sample) {
    constexpr std::size_t requests = 20;
    peer_fixture peers;
    if (sample.limit.has_value()) {
        peers.server_options.max_stream_resets_per_second = *sample.limit;
    }
    std::vector<std::string> run_ids;
    peers.gate.script = [&](const request_head& head, body_reader&,
                            response_writer&) -> awaitable<exchange_result> {
        run_ids.push_back(head.request_id);
        co_return failed_exchange(error_kind::no_target, "the test has no target");
    };
    peers.start();
    raw_client client;
    for (std::size_t i = 0; i < sample.resets; ++i) {
        client.reset(client.submit("/none", ""));
    }
    const std::size_t closed_before = client.closed_streams;
    std::vector<std::pair<std::string, std::int32_t>> streams;
    for (std::size_t i = 0; i < requests; ++i) {
        request_head head = peers.request();
        head.request_id = "q" + std::to_string(i);
        streams.emplace_back(head.request_id,
                             client.submit("/exchange", encode_request(head, peers.clock.now())));
    }
    peers.run([&]() -> awaitable<void> {
        co_await client.run(peers.server_endpoint,
                            [&] { return client.closed_streams >= closed_before + requests; });
    });
    BOOST_TEST(client.goaway_received == sample.goaway);
    for (const auto& [id, stream] : streams) {
        const auto runs = std::count(run_ids.begin(), run_ids.end(), id);
        BOOST_TEST(runs == (stream <= client.last_stream_of_goaway ? 1 : 0), "request " << id);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
