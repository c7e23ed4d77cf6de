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

constexpr std::size_t queued_lines = 64;

/// A pipe whose write end is a stream.
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
    bool drops;
};

std::ostream& operator<<(std::ostream& out, const volume_case& value) {
    return out << value.name;
}

constexpr volume_case volumes[] = {
    {"a few lines are all kept", 20, false},
    {"more than pipe and queue hold", 20'000, true},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(background_output)

// Guards against requests that wait for a log stream which nobody reads, and against lines lost without a
// count.
BOOST_DATA_TEST_CASE(stream_that_is_not_read_blocks_nobody, boost::unit_test::data::make(volumes), row) {
    std::signal(SIGPIPE, SIG_IGN);
    pipe_stream pipe;
    {
        const background_events output(pipe.stream, queued_lines);
        for (int i = 0; i < row.lines; ++i) {
            log_event(event_level::info, "test", {{"line", i}, {"filler", "some text of usual length"}});
        }
        BOOST_TEST((dropped_events() > 0) == row.drops);
        if (row.drops) {
            pipe.close_reader();  // Lets the writer end.
        }
    }
    BOOST_TEST(dropped_events() == 0U);
    if (!row.drops) {
        const std::string text = pipe.read_some();
        BOOST_TEST(std::count(text.begin(), text.end(), '\n') == row.lines);
        BOOST_TEST(text.find("line=0 ") < text.find("line=19 "));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
