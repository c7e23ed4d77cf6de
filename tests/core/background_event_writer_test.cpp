#include <unistd.h>

#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr std::size_t queue_capacity = 64;

/// Pipe with a stdio stream on its write end.
struct pipe_stream {
    pipe_stream() {
        BOOST_REQUIRE(::pipe(ends) == 0);
        stream = ::fdopen(ends[1], "w");
    }
    ~pipe_stream() {
        std::fclose(stream);
        close_reader();
    }
    pipe_stream(const pipe_stream&) = delete;
    pipe_stream& operator=(const pipe_stream&) = delete;

    void close_reader() {
        if (ends[0] >= 0) {
            ::close(ends[0]);
            ends[0] = -1;
        }
    }

    [[nodiscard]] std::string read_some() const {
        std::vector<char> buffer(1 << 20);
        const ssize_t size = ::read(ends[0], buffer.data(), buffer.size());
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

    int ends[2]{-1, -1};
    std::FILE* stream = nullptr;
};

struct volume_case {
    const char* name;
    int lines;
    bool expects_drops;
};

std::ostream& operator<<(std::ostream& out, const volume_case& value) {
    return out << value.name;
}

constexpr volume_case volumes[] = {
    {"all of a few lines are written", 20, false},
    {"more lines than pipe and queue can hold", 20'000, true},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(background_event_output)

// Guards against requests that block on a log stream that is not read, and against lines that are dropped
// without being counted.
BOOST_DATA_TEST_CASE(unread_stream_does_not_block_logging, boost::unit_test::data::make(volumes), row) {
    std::signal(SIGPIPE, SIG_IGN);
    pipe_stream pipe;
    {
        const background_event_writer output(pipe.stream, queue_capacity);
        for (int i = 0; i < row.lines; ++i) {
            log_event(event_level::info, "test", {{"line", i}, {"filler", "some text of typical length"}});
        }
        BOOST_TEST((dropped_event_count() > 0) == row.expects_drops);
        if (row.expects_drops) {
            pipe.close_reader();  // Makes the blocked write fail, so that the writer thread can end.
        }
    }
    BOOST_TEST(dropped_event_count() == 0U);
    if (!row.expects_drops) {
        const std::string text = pipe.read_some();
        BOOST_TEST(std::count(text.begin(), text.end(), '\n') == row.lines);
        BOOST_TEST(text.find("line=0 ") < text.find("line=19 "));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
