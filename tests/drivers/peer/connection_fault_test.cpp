#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <tuple>

#include "drivers/peer/head_codec.h"
#include "tests/drivers/peer/peer_fixture.h"
#include "tests/drivers/peer/peer_network_fakes.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_connection_fault)

enum class gate_fault {
    head_received,
    request_body_started,
    head_written,
    before_result,
    gate_throws,
    gate_aborts,
    gate_does_not_finish,
    oversized_head
};

struct gate_fault_case {
    std::string name;
    gate_fault fault;
    std::string error;
    std::string execution;
};
std::ostream& operator<<(std::ostream& out, const gate_fault_case& value) {
    return out << value.name;
}

const std::vector<gate_fault_case> gate_fault_cases{
    {"connection closed after the request head", gate_fault::head_received, "outcome_unknown", "unknown"},
    {"connection closed during the request body", gate_fault::request_body_started, "outcome_unknown",
     "unknown"},
    {"connection closed after the response head", gate_fault::head_written, "answer_broken", "unknown"},
    {"connection closed between response body and result", gate_fault::before_result, "answer_broken",
     "unknown"},
    {"gate throws", gate_fault::gate_throws, "outcome_unknown", "unknown"},
    {"gate aborts with a result", gate_fault::gate_aborts, "target_timeout", "run"},
    {"gate returns without finishing", gate_fault::gate_does_not_finish, "answer_broken", "unknown"},
    {"response head above the limit", gate_fault::oversized_head, "outcome_unknown", "unknown"},
};

/// Waits until the caller has received the response head and this many body bytes.
awaitable<void> wait_for_caller(peer_fixture& peers, const recording_writer& caller, std::size_t bytes) {
    while (!caller.head.has_value() || caller.received < bytes) {
        co_await peers.sleep(std::chrono::milliseconds(1));
    }
}

awaitable<exchange_result> run_faulty_gate(peer_fixture& peers, gate_fault fault,
                                           const recording_writer& caller, body_reader& body,
                                           response_writer& writer) {
    response_head head;
    head.status = 200;
    head.content_length = 5;
    if (fault == gate_fault::oversized_head) {
        head.headers = {{"X-Large", std::string(100'000, 'x')}};
    }
    std::vector<std::byte> bytes(5);
    if (fault == gate_fault::request_body_started) {
        (void)co_await body.read_some(bytes);
    }
    if (fault == gate_fault::gate_throws) {
        throw std::runtime_error("fault in the gate");
    }
    if (fault >= gate_fault::head_written) {
        (void)co_await writer.write_head(head);
    }
    if (fault >= gate_fault::before_result) {
        (void)co_await writer.write_body(bytes);
    }
    if (fault >= gate_fault::head_written && fault != gate_fault::oversized_head) {
        co_await wait_for_caller(peers, caller, fault == gate_fault::head_written ? 0 : bytes.size());
    }
    if (fault <= gate_fault::before_result) {
        peers.server->stop();
    }
    exchange_result result;
    if (fault == gate_fault::gate_aborts) {
        result = failed_exchange(error_kind::target_timeout, "late");
        result.execution = execution_state::run;
        result.target_crashed = true;
        writer.abort();
    }
    co_return result;
}

// Guards against a request that may have run but is reported as not run, and against an incomplete answer
// that is reported as complete, when the connection is closed or the gate fails during an exchange.
BOOST_DATA_TEST_CASE(gate_fault_gives_correct_execution_state, boost::unit_test::data::make(gate_fault_cases),
                     sample) {
    peer_fixture peers;
    recording_writer writer;
    peers.gate.script = [&](const request_head&, body_reader& body, response_writer& answer) {
        return run_faulty_gate(peers, sample.fault, writer, body, answer);
    };
    peers.start();
    exchange_result result;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(1'000'000);
        result = co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
    });
    BOOST_TEST(error_name(result) == sample.error);
    BOOST_TEST(to_string(result.execution) == sample.execution);
    BOOST_TEST(result.head_written == writer.head.has_value());
    BOOST_TEST(writer.aborted == writer.head.has_value());
    BOOST_TEST(!writer.finished);
    BOOST_TEST(result.target_crashed == (sample.fault == gate_fault::gate_aborts));
}

struct scripted_reply_case {
    std::string name;
    std::string reply;
    bool close_after;
    std::string error;
};
std::ostream& operator<<(std::ostream& out, const scripted_reply_case& value) {
    return out << value.name;
}

constexpr std::uint8_t rst_stream_type = 3;
constexpr std::uint8_t settings_type = 4;
constexpr std::uint8_t goaway_type = 7;

std::string goaway_frame(std::uint32_t last) {
    return scripted_peer::frame(goaway_type, 0,
                                scripted_peer::encode_uint32(last) + scripted_peer::encode_uint32(0));
}

/// HEADERS frame with a response head, as literal header fields.
std::string response_head_frame(const std::string& value = "CMgB") {  // Status 200.
    const std::string name = "teaselpitch-response-bin";
    const std::string block = std::string("\x88\x00", 2) + static_cast<char>(name.size()) + name +
                              static_cast<char>(value.size()) + value;
    constexpr std::uint8_t headers = 1;
    constexpr std::uint8_t end_headers = 4;
    return scripted_peer::frame(headers, 1, block, end_headers);
}

std::string encoded_head(unsigned status, const header_field& field = {"a", "b"},
                         const std::string& reason = "OK") {
    response_head head;
    head.status = status;
    head.reason = reason;
    head.headers = {field};
    return response_head_frame(encode_response(head));
}

const std::vector<scripted_reply_case> scripted_reply_cases{
    {"REFUSED_STREAM after the response head",
     response_head_frame() + scripted_peer::frame(rst_stream_type, 1, scripted_peer::encode_uint32(7)), false,
     "answer_broken"},
    {"END_STREAM without a result", response_head_frame() + scripted_peer::frame(0, 1, "", 1), false,
     "answer_broken"},
    {"REFUSED_STREAM", scripted_peer::frame(rst_stream_type, 1, scripted_peer::encode_uint32(7)), false,
     "peer_unreachable"},
    {"GOAWAY that excludes the stream", goaway_frame(0), false, "peer_unreachable"},
    {"GOAWAY that excludes the stream, then closed", goaway_frame(0), true, "peer_unreachable"},
    {"GOAWAY that covers the stream, then closed", goaway_frame(1), true, "outcome_unknown"},
    {"RST_STREAM with INTERNAL_ERROR",
     scripted_peer::frame(rst_stream_type, 1, scripted_peer::encode_uint32(2)), false, "outcome_unknown"},
    {"RST_STREAM with CANCEL", scripted_peer::frame(rst_stream_type, 1, scripted_peer::encode_uint32(8)),
     false, "outcome_unknown"},
    {"closed without any frame", "", true, "outcome_unknown"},
    {"invalid bytes", std::string(100, '\xee'), false, "outcome_unknown"},
    {"END_STREAM in the response head's stream after body bytes",
     response_head_frame() + scripted_peer::frame(0, 1, "part") + scripted_peer::frame(0, 1, "", 1), false,
     "answer_broken"},
    {"RST_STREAM with NO_ERROR after body bytes",
     response_head_frame() + scripted_peer::frame(0, 1, "part") +
         scripted_peer::frame(rst_stream_type, 1, scripted_peer::encode_uint32(0)),
     false, "answer_broken"},
    {"closed after body bytes", response_head_frame() + scripted_peer::frame(0, 1, "part"), true,
     "answer_broken"},
    {"response head that is not base64", response_head_frame("*"), false, "outcome_unknown"},
    {"status 0", encoded_head(0), false, "outcome_unknown"},
    {"status 99", encoded_head(99), false, "outcome_unknown"},
    {"status 100", encoded_head(100), false, "outcome_unknown"},
    {"status 1000", encoded_head(1000), false, "outcome_unknown"},
    {"field name with a blank", encoded_head(200, {"a b", "c"}), false, "outcome_unknown"},
    {"empty field name", encoded_head(200, {"", "c"}), false, "outcome_unknown"},
    {"field name with a control byte", encoded_head(200, {"a\x01", "c"}), false, "outcome_unknown"},
    {"field value with a line end", encoded_head(200, {"a", "c\r\nd: e"}), false, "outcome_unknown"},
    {"reason with a line end", encoded_head(200, {"a", "b"}, "OK\r\nd: e"), false, "outcome_unknown"},
};

void check_scripted_reply(const scripted_reply_case& sample, bool upload) {
    // More than the window of the peer, so that the body is still being sent.
    constexpr std::size_t upload_bytes = 1'000'000;
    peer_fixture peers;
    scripted_peer scripted(peers.context, scripted_peer::frame(settings_type, 0, ""), sample.reply,
                           sample.close_after);
    peers.start();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(upload ? upload_bytes : 0);
        recording_writer writer;
        const auto result =
            co_await peers.pool->exchange(scripted.listen_endpoint(), peers.request(upload), body, writer);
        BOOST_TEST(error_name(result) == sample.error);
        BOOST_TEST((result.execution == get_error_answer(result.error).execution));
        BOOST_TEST(writer.aborted == (sample.error == "answer_broken"));
        BOOST_TEST(writer.head.has_value() == writer.aborted);
        BOOST_TEST(!writer.finished);
        scripted.close();
    });
}

// Guards against HTTP/2 replies that are misread: only REFUSED_STREAM before the response head and a GOAWAY
// that excludes the stream prove that the request was not run.
BOOST_DATA_TEST_CASE(protocol_replies_give_correct_execution_state,
                     boost::unit_test::data::make(scripted_reply_cases), sample) {
    check_scripted_reply(sample, false);
}

// Guards against the same while the body of the request is still being sent.
BOOST_DATA_TEST_CASE(protocol_replies_during_an_upload_give_correct_execution_state,
                     boost::unit_test::data::make(scripted_reply_cases), sample) {
    check_scripted_reply(sample, true);
}

// Guards against a refused connection that is reported as an unknown outcome although nothing was sent.
BOOST_AUTO_TEST_CASE(closed_port_is_unreachable) {
    peer_fixture peers;
    peers.start();
    peers.server->stop();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(10);
        recording_writer writer;
        const auto result =
            co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
        BOOST_TEST(error_name(result) == "peer_unreachable");
        BOOST_TEST((result.execution == execution_state::not_run));
        BOOST_TEST(body.reads == 0U);
        const auto call =
            co_await peers.pool->call(peers.server_endpoint, "echo", "", std::chrono::seconds(1));
        BOOST_TEST((call.status().code() == absl::StatusCode::kUnavailable));
    });
}

// Guards against a request body that fails at the caller but is presented to the gate as complete.
BOOST_AUTO_TEST_CASE(incomplete_request_body_is_an_error) {
    peer_fixture peers;
    std::optional<std::size_t> read;
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        read = co_await read_whole_body(body);
        co_return co_await write_answer(writer, 1);
    };
    peers.start();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(1'000'000);
        body.fail_at = 500'000;
        recording_writer writer;
        const auto result =
            co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
        BOOST_TEST(error_name(result) == "cancelled");
        BOOST_TEST((result.execution == execution_state::unknown));
        BOOST_TEST(writer.untouched());
    });
    peers.run_until([&] { return read.has_value(); });
    // The reading coroutine was cancelled or received an error, never the end of the body.
    BOOST_TEST((!read.has_value() || *read == std::size_t{0} - 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
