#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <tuple>

#include "tests/drivers/peer/peer_fixture.h"
#include "tests/drivers/peer/relay.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_cut)

enum class stage {
    head_received,
    part_of_body,
    head_written,
    before_result,
    throws,
    aborts,
    unfinished,
    oversized
};

struct cut_case {
    std::string name;
    stage at;
    std::string error;
    std::string execution;
};
std::ostream& operator<<(std::ostream& out, const cut_case& value) {
    return out << value.name;
}

const std::vector<cut_case> cut_cases{
    {"connection cut when the gate has the head", stage::head_received, "outcome_unknown", "unknown"},
    {"connection cut in the request body", stage::part_of_body, "outcome_unknown", "unknown"},
    {"connection cut after the response head", stage::head_written, "answer_broken", "unknown"},
    {"connection cut between body and result", stage::before_result, "answer_broken", "unknown"},
    {"gate throws", stage::throws, "outcome_unknown", "unknown"},
    {"gate aborts with a result", stage::aborts, "target_timeout", "run"},
    {"gate returns without finishing", stage::unfinished, "answer_broken", "unknown"},
    {"response head above the limit", stage::oversized, "outcome_unknown", "unknown"},
};

/// Waits until the caller's side has the head and this many bytes.
awaitable<void> wait_until_seen(peer_fixture& peers, const recording_writer& seen, std::size_t bytes) {
    while (!seen.head.has_value() || seen.received < bytes) {
        co_await peers.sleep(std::chrono::milliseconds(1));
    }
}

awaitable<exchange_result> cut_at(peer_fixture& peers, stage at, const recording_writer& seen,
                                  body_reader& body, response_writer& writer) {
    response_head head;
    head.status = 200;
    head.content_length = 5;
    if (at == stage::oversized) {
        head.headers = {{"X-Large", std::string(100'000, 'x')}};
    }
    std::vector<std::byte> bytes(5);
    if (at == stage::part_of_body) {
        (void)co_await body.read_some(bytes);
    }
    if (at == stage::throws) {
        throw std::runtime_error("fault in the gate");
    }
    if (at >= stage::head_written) {
        (void)co_await writer.write_head(head);
    }
    if (at >= stage::before_result) {
        (void)co_await writer.write_body(bytes);
    }
    if (at >= stage::head_written && at != stage::oversized) {
        co_await wait_until_seen(peers, seen, at == stage::head_written ? 0 : bytes.size());
    }
    if (at <= stage::before_result) {
        peers.server->stop();
    }
    exchange_result result;
    if (at == stage::aborts) {
        result = failed_exchange(error_kind::target_timeout, "late");
        result.execution = execution_state::run;
        result.target_crashed = true;
        writer.abort();
    }
    co_return result;
}

// Guards against a cut that is reported as not run, or a cut answer that looks whole.
BOOST_DATA_TEST_CASE(cut_gives_the_true_state, boost::unit_test::data::make(cut_cases), sample) {
    peer_fixture peers;
    recording_writer writer;
    peers.gate.script = [&](const request_head&, body_reader& body, response_writer& answer) {
        return cut_at(peers, sample.at, writer, body, answer);
    };
    peers.start();
    exchange_result result;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(1'000'000);
        result = co_await peers.pool->exchange(peers.at, peers.request(true), body, writer);
    });
    BOOST_TEST(name_of(result) == sample.error);
    BOOST_TEST(to_string(result.execution) == sample.execution);
    BOOST_TEST(result.head_written == writer.head.has_value());
    BOOST_TEST(writer.aborted == writer.head.has_value());
    BOOST_TEST(!writer.finished);
    BOOST_TEST(result.target_crashed == (sample.at == stage::aborts));
}

struct raw_case {
    std::string name;
    std::string reply;
    bool close_after;
    std::string error;
};
std::ostream& operator<<(std::ostream& out, const raw_case& value) {
    return out << value.name;
}

constexpr std::uint8_t rst_stream = 3;
constexpr std::uint8_t settings = 4;
constexpr std::uint8_t goaway = 7;

std::string goaway_frame(std::uint32_t last) {
    return raw_peer::frame(goaway, 0, raw_peer::number(last) + raw_peer::number(0));
}

/// A response head in literal header fields.
std::string answer_head() {
    const std::string name = "teaselpitch-response-bin";
    const std::string value = "CMgB";  // Status 200.
    const std::string block = std::string("\x88\x00", 2) + static_cast<char>(name.size()) + name +
                              static_cast<char>(value.size()) + value;
    constexpr std::uint8_t headers = 1;
    constexpr std::uint8_t end_headers = 4;
    return raw_peer::frame(headers, 1, block, end_headers);
}

const std::vector<raw_case> raw_cases{
    {"REFUSED_STREAM after the response head",
     answer_head() + raw_peer::frame(rst_stream, 1, raw_peer::number(7)), false, "answer_broken"},
    {"END_STREAM without a result", answer_head() + raw_peer::frame(0, 1, "", 1), false, "answer_broken"},
    {"REFUSED_STREAM", raw_peer::frame(rst_stream, 1, raw_peer::number(7)), false, "peer_unreachable"},
    {"GOAWAY below the stream", goaway_frame(0), false, "peer_unreachable"},
    {"GOAWAY below the stream, then closed", goaway_frame(0), true, "peer_unreachable"},
    {"GOAWAY that covers the stream, then closed", goaway_frame(1), true, "outcome_unknown"},
    {"RST_STREAM with INTERNAL_ERROR", raw_peer::frame(rst_stream, 1, raw_peer::number(2)), false,
     "outcome_unknown"},
    {"RST_STREAM with CANCEL", raw_peer::frame(rst_stream, 1, raw_peer::number(8)), false, "outcome_unknown"},
    {"closed without a word", "", true, "outcome_unknown"},
    {"garbage", std::string(100, '\xee'), false, "outcome_unknown"},
};

// Guards against a protocol answer that is taken for proof of not run when it is none, or the reverse.
BOOST_DATA_TEST_CASE(protocol_answers, boost::unit_test::data::make(raw_cases), sample) {
    peer_fixture peers;
    raw_peer raw(peers.context, raw_peer::frame(settings, 0, ""), sample.reply, sample.close_after);
    peers.start();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(0);
        recording_writer writer;
        const auto result = co_await peers.pool->exchange(raw.at(), peers.request(), body, writer);
        BOOST_TEST(name_of(result) == sample.error);
        BOOST_TEST((result.execution == get_error_answer(result.error).execution));
        BOOST_TEST(writer.aborted == (sample.error == "answer_broken"));
        BOOST_TEST(writer.head.has_value() == writer.aborted);
        BOOST_TEST(!writer.finished);
        raw.close();
    });
}

// Guards against an unreachable peer that is reported as an unknown outcome.
BOOST_AUTO_TEST_CASE(nothing_listens) {
    peer_fixture peers;
    peers.start();
    peers.server->stop();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(10);
        recording_writer writer;
        const auto result = co_await peers.pool->exchange(peers.at, peers.request(true), body, writer);
        BOOST_TEST(name_of(result) == "peer_unreachable");
        BOOST_TEST((result.execution == execution_state::not_run));
        BOOST_TEST(body.reads == 0U);
        const auto call = co_await peers.pool->call(peers.at, "echo", "", std::chrono::seconds(1));
        BOOST_TEST((call.status().code() == absl::StatusCode::kUnavailable));
    });
}

// Guards against a request body that broke off and reaches the gate as whole.
BOOST_AUTO_TEST_CASE(broken_request_body_is_not_whole) {
    peer_fixture peers;
    std::optional<std::size_t> read;
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        read = co_await drain_body(body);
        co_return co_await answer_with(writer, 1);
    };
    peers.start();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(1'000'000);
        body.fail_at = 500'000;
        recording_writer writer;
        const auto result = co_await peers.pool->exchange(peers.at, peers.request(true), body, writer);
        BOOST_TEST(name_of(result) == "cancelled");
        BOOST_TEST((result.execution == execution_state::unknown));
        BOOST_TEST(writer.untouched());
    });
    peers.run_until([&] { return read.has_value(); });
    // The reading coroutine was cancelled or got an error; it never saw the end of the body.
    BOOST_TEST((!read.has_value() || *read == std::size_t{0} - 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
