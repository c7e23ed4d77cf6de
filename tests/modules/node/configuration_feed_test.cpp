#include "modules/node/configuration_feed.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <deque>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

/// Store that answers reads with scripted results and records the calls: "n" for read_newest(), "r" and the
/// offset for read_from(). A document is its version number as text.
class scripted_store final : public keyed_store {
public:
    awaitable<absl::StatusOr<keyed_records>> read_newest(std::string) override {
        calls += "n";
        co_return next_answer();
    }
    awaitable<absl::StatusOr<keyed_records>> read_from(std::string, std::uint64_t offset,
                                                       std::chrono::milliseconds wait) override {
        calls += "r" + std::to_string(offset);
        waits.push_back(wait);
        if (answers.empty() && lost_answer != nullptr) {
            // This read gets its answer only when the test says so.
            boost::asio::steady_timer* const pending = std::exchange(lost_answer, nullptr);
            (void)co_await pending->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            co_return late_answer;
        }
        co_return next_answer();
    }
    awaitable<absl::Status> put(std::string, std::string, std::string) override {
        co_return absl::OkStatus();
    }

    [[nodiscard]] std::uint64_t era() const override { return current_era; }

    std::deque<absl::StatusOr<keyed_records>> answers;
    std::deque<std::uint64_t> eras;  ///< Generations that the answers name; the last one stays.
    std::uint64_t current_era = 0;
    std::string calls;
    std::vector<std::chrono::milliseconds> waits;  ///< Of the long-polling reads.
    boost::asio::steady_timer* lost_answer = nullptr;
    absl::StatusOr<keyed_records> late_answer = absl::UnavailableError("lost");

private:
    absl::StatusOr<keyed_records> next_answer() {
        if (!eras.empty()) {
            current_era = eras.front();
            eras.pop_front();
        }
        absl::StatusOr<keyed_records> answer = absl::UnavailableError("no scripted answer is left");
        if (!answers.empty()) {
            answer = std::move(answers.front());
            answers.pop_front();
        }
        return answer;
    }
};

absl::StatusOr<configuration> decode_version(std::string_view document) {
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

/// Reads until all scripted answers are used, and once more.
void read_all(configuration_feed& feed, scripted_store& store) {
    boost::asio::io_context context;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            while (!store.answers.empty()) {
                (void)co_await feed.read_once();
            }
            (void)co_await feed.read_once();
        },
        [](std::exception_ptr failure) { BOOST_TEST(!failure); });
    context.run();
}

keyed_records make_records(std::vector<keyed_record> list, std::uint64_t end) {
    return {.records = std::move(list), .end = end};
}

keyed_record make_document(std::string value, std::uint64_t offset) {
    return {"config", std::move(value), offset};
}

struct feed_case {
    const char* name;
    std::vector<absl::StatusOr<keyed_records>> answers;
    std::vector<std::uint64_t> versions;  ///< Versions that become current, in order.
    std::string calls;
};

std::ostream& operator<<(std::ostream& out, const feed_case& value) {
    return out << value.name;
}

const std::vector<feed_case> feed_cases{
    {"newest record first, then the records after it",
     {make_records({make_document("3", 4)}, 5), make_records({make_document("4", 5)}, 6)},
     {3, 4},
     "nr5r6"},
    {"an older document does not replace a later one",
     {make_records({make_document("7", 4)}, 5),
      make_records({make_document("6", 5), make_document("8", 6)}, 7)},
     {7, 8},
     "nr5r7"},
    {"a document that cannot be decoded is ignored",
     {make_records({make_document("3", 4)}, 5), make_records({make_document("x", 5)}, 6),
      make_records({make_document("4", 6)}, 7)},
     {3, 4},
     "nr5r6r7"},
    {"other keys and deleted records are ignored",
     {make_records({make_document("3", 4)}, 5), make_records({{"else", "9", 5}, {"config", "", 6}}, 7)},
     {3},
     "nr5r7"},
    {"the newest record is read after a gap",
     {make_records({make_document("3", 4)}, 5), absl::OutOfRangeError("trimmed"),
      make_records({make_document("9", 40)}, 41)},
     {3, 9},
     "nr5nr41"},
    {"the newest record after a gap is older than the current version",
     {make_records({make_document("3", 4)}, 5), absl::OutOfRangeError("trimmed"),
      make_records({make_document("2", 3)}, 4), make_records({make_document("5", 4)}, 5)},
     {3, 5},
     "nr5nr4r5"},
    {"an outage changes neither offset nor version",
     {make_records({make_document("3", 4)}, 5), absl::UnavailableError("away"),
      make_records({make_document("4", 5)}, 6)},
     {3, 4},
     "nr5r5r6"},
    {"a long-polling read without records",
     {make_records({make_document("3", 4)}, 5), make_records({}, 5)},
     {3},
     "nr5r5"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_feed_tests)

// Guards against a configuration that is lost in a gap of the log, that returns to an older version, or that
// is replaced by a document that cannot be decoded.
BOOST_DATA_TEST_CASE(applies_only_newer_valid_documents, boost::unit_test::data::make(feed_cases), row) {
    scripted_store store;
    store.answers.assign(row.answers.begin(), row.answers.end());
    std::vector<std::uint64_t> versions;
    manual_time_source clock;
    configuration_feed feed(
        clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {},
        {.on_configuration = [&](const configuration& next) { versions.push_back(next.version); },
         .on_availability = [](const std::string&) {}});
    read_all(feed, store);
    BOOST_TEST(versions == row.versions, boost::test_tools::per_element());
    BOOST_TEST(store.calls == row.calls);
}

// Guards against contact with the store that is reported for a read without an answer, which would keep keys
// trusted, or that is not reported for an answer without records.
BOOST_AUTO_TEST_CASE(only_answered_reads_are_contact) {
    scripted_store store;
    store.answers = {make_records({make_document("3", 4)}, 5), absl::UnavailableError("away"),
                     make_records({}, 5), absl::UnavailableError("away")};
    std::vector<bool> contact;
    manual_time_source clock;
    int contacts = 0;
    configuration_feed feed(clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {},
                            {.on_configuration = [](const configuration&) {},
                             .on_contact = [&contacts] { ++contacts; },
                             .on_availability = [](const std::string&) {}});
    boost::asio::io_context context;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            while (!store.answers.empty()) {
                const int before = contacts;
                (void)co_await feed.read_once();
                contact.push_back(contacts > before);
            }
        },
        boost::asio::detached);
    context.run();
    BOOST_TEST(contact == (std::vector<bool>{true, false, true, false}), boost::test_tools::per_element());
}

// Guards against a document from another node that replaces the current version by an older or equal one.
BOOST_AUTO_TEST_CASE(peer_documents_apply_only_when_newer) {
    scripted_store store;
    manual_time_source clock;
    configuration_feed feed(
        clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {},
        {.on_configuration = [](const configuration&) {}, .on_availability = [](const std::string&) {}});
    BOOST_TEST(feed.apply_document("5", "peer"));
    BOOST_TEST(!feed.apply_document("5", "peer"));
    BOOST_TEST(!feed.apply_document("4", "peer"));
    BOOST_TEST(!feed.apply_document("junk", "peer"));
    BOOST_TEST(feed.version() == 5U);
}

struct lost_answer_case {
    const char* name;
    std::chrono::milliseconds elapsed;  ///< Since the other node delivered its document.
    bool replaced;
};

std::ostream& operator<<(std::ostream& out, const lost_answer_case& value) {
    return out << value.name;
}

const std::vector<lost_answer_case> lost_answer_cases{
    {"the answer of the store may still arrive", std::chrono::milliseconds{1'400}, false},
    {"the answer of the store is lost", std::chrono::milliseconds{1'500}, true},
};

// Guards against a node that waits for the whole duration of a read whose answer was lost while other nodes
// already have the next versions, and against a late answer that changes what the next read has set.
BOOST_DATA_TEST_CASE(a_read_that_lost_its_answer_is_replaced, boost::unit_test::data::make(lost_answer_cases),
                     row) {
    manual_time_source clock;
    boost::asio::io_context context;
    boost::asio::steady_timer late(context, boost::asio::steady_timer::time_point::max());
    boost::asio::steady_timer second_late(context, boost::asio::steady_timer::time_point::max());
    scripted_store store;
    store.answers.push_back(make_records({make_document("3", 4)}, 5));
    store.lost_answer = &late;
    std::string availability;
    configuration_feed feed(clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {},
                            {.on_configuration = [](const configuration&) {},
                             .on_availability = [&](const std::string& reason) { availability += reason; }});
    boost::asio::co_spawn(context, feed.run(), boost::asio::detached);
    context.poll();
    BOOST_TEST(!feed.read_is_overtaken());
    BOOST_TEST(feed.apply_document("4", "peer"));
    clock.advance(row.elapsed);
    BOOST_REQUIRE(feed.read_is_overtaken() == row.replaced);
    if (!row.replaced) {
        return;
    }
    store.answers.push_back(make_records({make_document("4", 5), make_document("5", 6)}, 7));
    store.lost_answer = &second_late;
    boost::asio::co_spawn(context, feed.run(), boost::asio::detached);
    context.poll();
    BOOST_TEST(!feed.read_is_overtaken());
    BOOST_TEST(feed.version() == 5U);
    BOOST_TEST(store.calls == "nr5r5r7");
    late.cancel();
    context.restart();
    context.poll();
    BOOST_TEST(feed.store_available());
    BOOST_TEST(availability.empty());
    BOOST_TEST(store.calls == "nr5r5r7");
}

struct restore_case {
    const char* name;
    std::vector<absl::StatusOr<keyed_records>> answers;
    std::deque<std::uint64_t> eras;
    std::vector<std::uint64_t> versions;
    std::string calls;
    int restores;
};

std::ostream& operator<<(std::ostream& out, const restore_case& value) {
    return out << value.name;
}

const std::vector<restore_case> restore_cases{
    {"the era stays",
     {make_records({make_document("3", 4)}, 5), make_records({make_document("4", 5)}, 6)},
     {1, 1},
     {3, 4},
     "nr5r6",
     0},
    {"offsets were assigned again while the reader slept",
     {make_records({make_document("3", 4)}, 5), make_records({}, 9),
      make_records({make_document("6", 3)}, 9)},
     {1, 2, 2},
     {3, 6},
     "nr5nr9",
     1},
    {"the offset lies beyond the end of the restored store",
     {make_records({make_document("3", 4)}, 5), absl::OutOfRangeError("beyond the end"),
      make_records({make_document("2", 1)}, 2), make_records({make_document("4", 2)}, 3)},
     {1, 2, 2, 2},
     {3, 4},
     "nr5nr2r3",
     1},
    {"two restores in a row",
     {make_records({make_document("3", 4)}, 5), make_records({}, 6), make_records({make_document("3", 4)}, 5),
      make_records({}, 5), make_records({make_document("5", 3)}, 5)},
     {1, 2, 3, 3},
     {3, 5},
     "nr5nr5nr5",
     2},
    {"the restored store is not ready yet",
     {make_records({make_document("3", 4)}, 5), absl::UnavailableError("restoring"),
      absl::UnavailableError("restoring"), make_records({make_document("4", 5)}, 6)},
     {1, 2, 2, 2},
     {3, 4},
     "nr5nnr6",
     1},
};

// Guards against a reader that goes on at an offset of the store's earlier generation: it would miss the
// records that were assigned to lower offsets since, or go back to an older version.
BOOST_DATA_TEST_CASE(reads_the_newest_records_after_a_restore, boost::unit_test::data::make(restore_cases),
                     row) {
    scripted_store store;
    store.answers.assign(row.answers.begin(), row.answers.end());
    store.eras = row.eras;
    std::vector<std::uint64_t> versions;
    int restores = 0;
    manual_time_source clock;
    configuration_feed feed(
        clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {},
        {.on_configuration = [&](const configuration& next) { versions.push_back(next.version); },
         .on_availability = [](const std::string&) {},
         .on_store_restored = [&restores] { ++restores; }});
    read_all(feed, store);
    BOOST_TEST(versions == row.versions, boost::test_tools::per_element());
    BOOST_TEST(store.calls == row.calls);
    BOOST_TEST(restores == row.restores);
}

struct first_version_case {
    const char* name;
    std::string peer_document;  ///< Empty when no peer has a later version.
    std::vector<std::uint64_t> versions;
};

std::ostream& operator<<(std::ostream& out, const first_version_case& value) {
    return out << value.name;
}

const std::vector<first_version_case> first_version_cases{
    {"no peer has a later version", "", {3}},
    {"a peer has a later version", "7", {7}},
    {"a peer has an older version", "2", {2, 3}},
};

// Guards against a node that starts with an older version from a restored store although other nodes have a
// later one in force: it would serve removed routes and withdrawn keys.
BOOST_DATA_TEST_CASE(peers_are_asked_before_the_first_version,
                     boost::unit_test::data::make(first_version_cases), row) {
    scripted_store store;
    store.answers = {make_records({make_document("3", 4)}, 5), make_records({make_document("3", 5)}, 6)};
    std::vector<std::uint64_t> versions;
    std::vector<std::uint64_t> asked;
    manual_time_source clock;
    configuration_feed* reader = nullptr;
    configuration_feed feed(
        clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {},
        {.on_configuration = [&](const configuration& next) { versions.push_back(next.version); },
         .on_availability = [](const std::string&) {},
         .ask_peers = [&](std::uint64_t version) -> awaitable<void> {
             asked.push_back(version);
             if (!row.peer_document.empty()) {
                 reader->apply_document(row.peer_document, "peer");
             }
             co_return;
         }});
    reader = &feed;
    read_all(feed, store);
    BOOST_TEST(versions == row.versions, boost::test_tools::per_element());
    BOOST_TEST(asked == std::vector<std::uint64_t>{3}, boost::test_tools::per_element());
}

// Guards against nodes whose reads all end at the same moment, so that none of them notices soon that their
// answers were lost.
BOOST_AUTO_TEST_CASE(waits_of_reads_differ) {
    manual_time_source clock;
    scripted_store store;
    store.answers.assign(41, make_records({}, 5));
    configuration_feed feed(
        clock, store, {.topic = "t", .key = "config", .decode = decode_version}, {.seed = 7},
        {.on_configuration = [](const configuration&) {}, .on_availability = [](const std::string&) {}});
    boost::asio::io_context context;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            while (!store.answers.empty()) {
                (void)co_await feed.read_once();
            }
        },
        boost::asio::detached);
    context.run();
    BOOST_REQUIRE(store.waits.size() == 40U);
    const auto [shortest, longest] = std::minmax_element(store.waits.begin(), store.waits.end());
    BOOST_TEST(shortest->count() >= 1'000);
    BOOST_TEST(shortest->count() <= 5'000);
    BOOST_TEST(longest->count() >= 20'000);
    BOOST_TEST(longest->count() <= 25'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
