#include "modules/node/configuration_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <deque>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

/// Answers reads from a script; a document is its version as text.
class scripted_store final : public keyed_store {
public:
    awaitable<absl::StatusOr<keyed_records>> read_newest(std::string) override {
        calls += "n";
        co_return next();
    }
    awaitable<absl::StatusOr<keyed_records>> read_from(std::string, std::uint64_t offset,
                                                       std::chrono::milliseconds) override {
        calls += "r" + std::to_string(offset);
        co_return next();
    }
    awaitable<absl::Status> put(std::string, std::string, std::string) override {
        co_return absl::OkStatus();
    }

    std::deque<absl::StatusOr<keyed_records>> answers;
    std::string calls;

private:
    absl::StatusOr<keyed_records> next() {
        absl::StatusOr<keyed_records> answer = absl::UnavailableError("the script is over");
        if (!answers.empty()) {
            answer = std::move(answers.front());
            answers.pop_front();
        }
        return answer;
    }
};

absl::StatusOr<configuration> decode_number(std::string_view document) {
    configuration result;
    const auto [end, error] =
        std::from_chars(document.data(), document.data() + document.size(), result.version);
    if (error != std::errc{} || end != document.data() + document.size()) {
        return absl::InvalidArgumentError("not a number");
    }
    result.rows = std::make_shared<const table>();
    result.document = document;
    return result;
}

keyed_records records(std::vector<keyed_record> list, std::uint64_t end) {
    return {.records = std::move(list), .end = end};
}

keyed_record document(std::string value, std::uint64_t offset) {
    return {"config", std::move(value), offset};
}

struct feed_case {
    const char* name;
    std::vector<absl::StatusOr<keyed_records>> answers;
    std::vector<std::uint64_t> versions;  ///< Taken into force, in order.
    std::string calls;
};

std::ostream& operator<<(std::ostream& out, const feed_case& value) {
    return out << value.name;
}

const std::vector<feed_case> feed_cases{
    {"newest first, then the log from its end",
     {records({document("3", 4)}, 5), records({document("4", 5)}, 6)},
     {3, 4},
     "nr5r6"},
    {"an older document never returns",
     {records({document("7", 4)}, 5), records({document("6", 5), document("8", 6)}, 7)},
     {7, 8},
     "nr5r7"},
    {"a document that cannot be read changes nothing",
     {records({document("3", 4)}, 5), records({document("x", 5)}, 6), records({document("4", 6)}, 7)},
     {3, 4},
     "nr5r6r7"},
    {"other keys and dropped ones are passed over",
     {records({document("3", 4)}, 5), records({{"else", "9", 5}, {"config", "", 6}}, 7)},
     {3},
     "nr5r7"},
    {"after a gap the newest record counts",
     {records({document("3", 4)}, 5), absl::OutOfRangeError("trimmed"), records({document("9", 40)}, 41)},
     {3, 9},
     "nr5nr41"},
    {"a newest record that is behind the log",
     {records({document("3", 4)}, 5), absl::OutOfRangeError("trimmed"), records({document("2", 3)}, 4),
      records({document("5", 4)}, 5)},
     {3, 5},
     "nr5nr4r5"},
    {"an outage keeps position and version",
     {records({document("3", 4)}, 5), absl::UnavailableError("away"), records({document("4", 5)}, 6)},
     {3, 4},
     "nr5r5r6"},
    {"a wait without records", {records({document("3", 4)}, 5), records({}, 5)}, {3}, "nr5r5"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(operator_configuration)

// Guards against a configuration that is lost in a gap, goes back, or is replaced by one that cannot be read.
BOOST_DATA_TEST_CASE(feed_follows_the_document, boost::unit_test::data::make(feed_cases), row) {
    scripted_store store;
    store.answers.assign(row.answers.begin(), row.answers.end());
    std::vector<std::uint64_t> versions;
    configuration_feed feed(
        store, {.topic = "t", .key = "config", .decode = decode_number}, {},
        {.on_configuration = [&](const configuration& next) { versions.push_back(next.version); },
         .on_availability = [](const std::string&) {}});
    boost::asio::io_context context;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            while (!store.answers.empty()) {
                (void)co_await feed.step();
            }
            (void)co_await feed.step();
        },
        [](std::exception_ptr failure) { BOOST_TEST(!failure); });
    context.run();
    BOOST_TEST(versions == row.versions, boost::test_tools::per_element());
    BOOST_TEST(store.calls == row.calls);
}

// Guards against a document of another node that puts an older version into force.
BOOST_AUTO_TEST_CASE(peers_bring_later_versions_only) {
    scripted_store store;
    configuration_feed feed(
        store, {.topic = "t", .key = "config", .decode = decode_number}, {},
        {.on_configuration = [](const configuration&) {}, .on_availability = [](const std::string&) {}});
    BOOST_TEST(feed.offer("5", "peer"));
    BOOST_TEST(!feed.offer("5", "peer"));
    BOOST_TEST(!feed.offer("4", "peer"));
    BOOST_TEST(!feed.offer("junk", "peer"));
    BOOST_TEST(feed.version() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
