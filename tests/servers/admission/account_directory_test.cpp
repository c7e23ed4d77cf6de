#include "servers/admission/account_directory.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

struct invalid_case {
    std::string name;
    std::vector<client_account> accounts;
    std::string reason;  ///< Substring of the error message.
};

std::ostream& operator<<(std::ostream& out, const invalid_case& value) {
    return out << value.name;
}

client_account with_quota(double rate, double burst) {
    return {.name = "a", .keys = {"key-1"}, .quota = {rate, burst}};
}

const std::vector<invalid_case> invalid_cases{
    {"key of two accounts", {{"b", {"key-1", "shared-key"}}, {"a", {"shared-key"}}}, "has a key of account"},
    {"two accounts with one name", {{"a", {"key-1"}}, {"a", {"key-2"}}}, "\"a\" is defined more than once"},
    {"empty key", {{"a", {"key-1", ""}}}, "\"a\" has an empty key"},
    {"account without a name", {{"", {"key-1"}}}, "name is empty"},
    {"name with a line break", {{"a\r\nHost: b", {"key-1"}}}, "control byte"},
    {"name that exceeds a header line", {{std::string(9'000, 'a'), {"key-1"}}}, "too long"},
    {"negative rate", {with_quota(-1, 0)}, "negative"},
    {"negative burst", {with_quota(5, -1)}, "negative"},
    {"infinite rate", {with_quota(std::numeric_limits<double>::infinity(), 0)}, "not a number"},
    {"rate that is not a number", {with_quota(std::numeric_limits<double>::quiet_NaN(), 0)}, "not a number"},
    {"burst without a rate", {with_quota(0, 5)}, "burst without a rate"},
};

struct lookup_case {
    std::string key;
    std::string account;  ///< Empty for an unknown key.
};

std::ostream& operator<<(std::ostream& out, const lookup_case& value) {
    return out << '"' << value.key << '"';
}

const std::vector<lookup_case> lookup_cases{
    {"nr26tta828m82thhkmgj", "pulo780"},
    {"qnirth5mgjy5rcpihhac", "pulo780"},
    {"k", "jota"},
    {"nr26tta828m82thhkmg", ""},
    {"nr26tta828m82thhkmgjx", ""},
    {"nr26tta828m82thhkmgk", ""},
    {"NR26TTA828M82THHKMGJ", ""},
    {"", ""},
    {"pulo780", ""},
    {"nr26tta828m82thhkmgjqnirth5mg", ""},
    {" k", ""},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(account_directories)

// Guards against an invalid list of accounts that replaces a valid one, and against an error message that
// shows a key.
BOOST_DATA_TEST_CASE(invalid_accounts_are_rejected, boost::unit_test::data::make(invalid_cases), row) {
    const auto made = account_directory::make(row.accounts);
    BOOST_REQUIRE(!made.ok());
    const std::string message(made.status().message());
    BOOST_TEST((message.find(row.reason) != std::string::npos), message);
    BOOST_TEST((message.find("key-1") == std::string::npos), message);
    BOOST_TEST((message.find("shared-key") == std::string::npos), message);
}

// Guards against a key that selects the wrong account, and against a part or an extension of a key that is
// taken for the key.
BOOST_DATA_TEST_CASE(only_whole_keys_are_found, boost::unit_test::data::make(lookup_cases), row) {
    const auto directory = account_directory::make({{.name = "pulo780",
                                                     .keys = {"nr26tta828m82thhkmgj", "qnirth5mgjy5rcpihhac"},
                                                     .rank = 1,
                                                     .quota = {86, 86}},
                                                    {.name = "jota", .keys = {"k", "k"}}})
                               .value();
    const client_account* found = directory->find_by_key(row.key);
    BOOST_TEST((found == nullptr ? "" : found->name) == row.account);
}

// Guards against rank, quota or keys of another account after the accounts have been sorted, and against keys
// that code which handles an account could write to a log.
BOOST_AUTO_TEST_CASE(accounts_are_found_by_name_without_their_keys) {
    const auto directory = account_directory::make({{.name = "z", .keys = {"1"}, .rank = 3, .quota = {5, 7}},
                                                    {.name = "a", .keys = {"2"}, .rank = 0},
                                                    {.name = "m", .keys = {"3"}}})
                               .value();
    BOOST_TEST(directory->size() == 3U);
    BOOST_TEST_REQUIRE(directory->find("z") != nullptr);
    BOOST_TEST((directory->find("z")->quota == account_quota{5, 7}));
    BOOST_TEST((directory->find("z")->rank == std::optional<std::uint32_t>(3)));
    BOOST_TEST(directory->find("z")->keys.empty());
    BOOST_TEST_REQUIRE(directory->find("a") != nullptr);
    BOOST_TEST((directory->find("a")->rank == std::optional<std::uint32_t>(0)));
    BOOST_TEST(!directory->find("a")->quota.is_limited());
    BOOST_TEST_REQUIRE(directory->find("m") != nullptr);
    BOOST_TEST(!directory->find("m")->rank.has_value());
    BOOST_TEST(directory->find("") == nullptr);
    BOOST_TEST(directory->find("b") == nullptr);
    BOOST_TEST(directory->find("zz") == nullptr);
}

// Guards against an account that can't be revoked: the operator withdraws all of its keys, and a version that
// is refused for that would leave them in use.
BOOST_AUTO_TEST_CASE(all_keys_of_an_account_can_be_withdrawn) {
    const auto made = account_directory::make({{.name = "a", .keys = {}}, {.name = "b", .keys = {"key-2"}}});
    BOOST_REQUIRE(made.ok());
    BOOST_TEST((*made)->size() == 2U);
    BOOST_TEST((*made)->find("a") != nullptr);
    BOOST_TEST((*made)->find_by_key("") == nullptr);
    BOOST_TEST((*made)->names_without_keys() == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
    BOOST_TEST(!account_directory::make({{.name = "a", .keys = {}}}).value()->empty());
}

// Guards against a configuration without accounts in which requests are refused for their key.
BOOST_AUTO_TEST_CASE(a_directory_without_accounts_is_empty) {
    BOOST_TEST(account_directory().empty());
    BOOST_TEST(account_directory::make({}).value()->empty());
    BOOST_TEST(account_directory().find_by_key("k") == nullptr);
    BOOST_TEST(account_directory().find("a") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
