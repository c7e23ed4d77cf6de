#include "platform/store_client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch::platform {
namespace {

std::string encode_offset(std::uint64_t value) {
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>(value >> shift & 0xffU));
    }
    return text;
}

struct answer_case {
    const char* name;
    std::string answer;
    bool valid;
    std::vector<std::uint64_t> offsets;
};

std::ostream& operator<<(std::ostream& out, const answer_case& value) {
    return out << value.name;
}

const std::string two_records = encode_record("config", "one") + encode_record("other", "");

const std::vector<answer_case> answer_cases{
    {"no records", encode_offset(7) + encode_offset(0), true, {}},
    {"two records", encode_offset(9) + encode_offset(0) + two_records, true, {7, 8}},
    {"records deleted before the first one",
     encode_offset(12) + encode_offset(10) + two_records,
     true,
     {10, 11}},
    {"record without a key",
     encode_offset(9) + encode_offset(0) + std::string("\0\0\0\0", 4) + encode_record("config", "one"),
     true,
     {8}},
    {"truncated within the offsets", encode_offset(9), false, {}},
    {"truncated within a record",
     (encode_offset(9) + encode_offset(0) + two_records).substr(0, 25),
     false,
     {}},
};

struct page_case {
    const char* name;
    std::string answer;
    bool valid;
    std::size_t records;
    bool has_more;
};

std::ostream& operator<<(std::ostream& out, const page_case& value) {
    return out << value.name;
}

const std::vector<page_case> page_cases{
    {"one record", R"({"items":[{"key":"config","value":"b25l","offset":4}],"more":false,"end":6})", true, 1,
     false},
    {"more pages", R"({"items":[{"key":"a","value":"b25l","offset":4}],"more":true,"end":6})", true, 1, true},
    {"unreadable value", R"({"items":[{"key":"a","value":"%%","offset":4}],"more":false,"end":6})", true, 0,
     false},
    {"key that is not UTF-8",
     "{\"items\":[{\"key\":\"\xff\",\"value\":\"b25l\",\"offset\":4},"
     "{\"key\":\"a\",\"value\":\"b25l\",\"offset\":5}],\"more\":false,\"end\":6}",
     true, 2, false},
    {"offset that is too large",
     R"({"items":[{"key":"a","value":"b25l","offset":1e400},{"key":"b","value":"b25l","offset":5}],"more":true,"end":6})",
     true, 1, true},
    {"offset that is negative", R"({"items":[{"key":"a","value":"b25l","offset":-1}],"more":false,"end":6})",
     true, 0, false},
    {"value that is nested deeply",
     R"({"items":[{"key":"a","value":[[[[[[[[1]]]]]]]],"offset":4}],"more":false,"end":6})", true, 0, false},
    {"no list", R"({"more":false,"end":6})", false, 0, false},
    {"no end", R"({"items":[]})", false, 0, false},
    {"not JSON", "<html>", false, 0, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_record_format)

// Guards against records that get a wrong offset or are decoded from a truncated answer.
BOOST_DATA_TEST_CASE(read_answers_are_decoded, boost::unit_test::data::make(answer_cases), row) {
    const auto read = decode_records(row.answer, 7);
    BOOST_TEST(read.ok() == row.valid);
    std::vector<std::uint64_t> offsets;
    if (read.ok()) {
        for (const keyed_record& record : read->records) {
            offsets.push_back(record.offset);
        }
    }
    BOOST_TEST(offsets == row.offsets, boost::test_tools::per_element());
}

struct era_case {
    const char* name;
    std::vector<header_field> headers;
    std::optional<std::uint64_t> era;
};

std::ostream& operator<<(std::ostream& out, const era_case& value) {
    return out << value.name;
}

const std::vector<era_case> era_cases{
    {"no field", {{"Content-Type", "application/json"}}, std::nullopt},
    {"a number", {{"store-era", "12"}}, 12},
    {"text", {{"Store-Era", "later"}}, std::nullopt},
    {"negative", {{"Store-Era", "-1"}}, std::nullopt},
    {"beyond 64 bits", {{"Store-Era", "99999999999999999999"}}, std::nullopt},
};

// Guards against a malformed generation that is taken for a restore of the store.
BOOST_DATA_TEST_CASE(the_generation_is_read, boost::unit_test::data::make(era_cases), row) {
    BOOST_TEST((read_era(row.headers) == row.era));
}

// Guards against a page that is treated as the last one or loses records.
BOOST_DATA_TEST_CASE(pages_are_decoded, boost::unit_test::data::make(page_cases), row) {
    const auto page = decode_newest_page(row.answer);
    BOOST_TEST(page.ok() == row.valid);
    if (page.ok()) {
        BOOST_TEST(page->batch.records.size() == row.records);
        BOOST_TEST(page->has_more == row.has_more);
        BOOST_TEST(page->batch.end == 6U);
    }
}

struct last_key_case {
    const char* name;
    std::string answer;
    std::string last_key;
};

std::ostream& operator<<(std::ostream& out, const last_key_case& value) {
    return out << value.name;
}

const std::vector<last_key_case> last_key_cases{
    {"readable record", R"({"items":[{"key":"a","value":"b25l","offset":4}],"more":true,"end":6})", "a"},
    {"unreadable last record",
     R"({"items":[{"key":"a","value":"b25l","offset":4},{"key":"b","value":"%%","offset":5}],"more":true,"end":6})",
     "b"},
    {"only unreadable records", R"({"items":[{"key":"c","value":7,"offset":4}],"more":true,"end":6})", "c"},
    {"record without a key",
     R"({"items":[{"key":"a","value":"","offset":4},{"offset":5}],"more":true,"end":6})", "a"},
};

// Guards against a reader that stops at a page whose records another writer made unreadable: all records of
// later pages would be missing.
BOOST_DATA_TEST_CASE(reading_goes_on_after_unreadable_records, boost::unit_test::data::make(last_key_cases),
                     row) {
    const auto page = decode_newest_page(row.answer);
    BOOST_REQUIRE(page.ok());
    BOOST_TEST(page->last_key == row.last_key);
}

// Guards against a key of another writer that breaks the request for the next page, so that each read fails.
BOOST_AUTO_TEST_CASE(odd_keys_are_encoded_in_the_query) {
    BOOST_TEST(newest_page_query("t", "") == "topic=t&part=0");
    BOOST_TEST(newest_page_query("t", "node-1.a_b~") == "topic=t&part=0&after=node-1.a_b~");
    BOOST_TEST(newest_page_query("t", "a&b c\r\nX: 1\xff") ==
               "topic=t&part=0&after=a%26b%20c%0D%0AX%3A%201%FF");
}

// Guards against a record that other readers of the topic cannot decode.
BOOST_AUTO_TEST_CASE(records_are_framed_by_length_and_key) {
    BOOST_TEST(encode_record("ab", "c") == std::string("\0\0\0\4\2abc", 8));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::platform
