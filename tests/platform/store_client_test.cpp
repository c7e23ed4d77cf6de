#include "platform/store_client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch::platform {
namespace {

std::string offset_text(std::uint64_t value) {
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
    {"no records", offset_text(7) + offset_text(0), true, {}},
    {"two records", offset_text(9) + offset_text(0) + two_records, true, {7, 8}},
    {"history dropped up to the first record",
     offset_text(12) + offset_text(10) + two_records,
     true,
     {10, 11}},
    {"record without a key",
     offset_text(9) + offset_text(0) + std::string("\0\0\0\0", 4) + encode_record("config", "one"),
     true,
     {8}},
    {"cut within the offsets", offset_text(9), false, {}},
    {"cut within a record", (offset_text(9) + offset_text(0) + two_records).substr(0, 25), false, {}},
};

struct page_case {
    const char* name;
    std::string answer;
    bool valid;
    std::size_t records;
    bool more;
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
    {"no list", R"({"more":false,"end":6})", false, 0, false},
    {"no end", R"({"items":[]})", false, 0, false},
    {"no JSON", "<html>", false, 0, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(frames_of_the_store)

// Guards against records that are read with the wrong offset or from a cut answer.
BOOST_DATA_TEST_CASE(reads_are_decoded, boost::unit_test::data::make(answer_cases), row) {
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

// Guards against a page of the newest records that is taken for whole or loses its records.
BOOST_DATA_TEST_CASE(pages_are_decoded, boost::unit_test::data::make(page_cases), row) {
    const auto page = decode_newest(row.answer);
    BOOST_TEST(page.ok() == row.valid);
    if (page.ok()) {
        BOOST_TEST(page->found.records.size() == row.records);
        BOOST_TEST(page->more == row.more);
        BOOST_TEST(page->found.end == 6U);
    }
}

// Guards against a record that other readers of the topic cannot split.
BOOST_AUTO_TEST_CASE(records_are_framed_by_length_and_key) {
    BOOST_TEST(encode_record("ab", "c") == std::string("\0\0\0\4\2abc", 8));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::platform
