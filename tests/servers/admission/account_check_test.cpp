#include "servers/admission/account_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

http_dialect make_dialect() {
    http_dialect dialect;
    dialect.account_key_field = "Caller-Key";
    dialect.account_field = "Caller-Name";
    return dialect;
}

std::shared_ptr<const account_directory> make_accounts() {
    return account_directory::make(
               {{.name = "pulo780", .keys = {"k1", "k2"}}, {.name = "jota", .keys = {"k3"}}})
        .value();
}

using field_list = std::vector<header_field>;

struct check_case {
    std::string name;
    field_list received;
    key_verdict verdict;
    std::string forwarded;  ///< Header fields for targets as NAME=VALUE pairs.
};

std::ostream& operator<<(std::ostream& out, const check_case& value) {
    return out << value.name;
}

const std::vector<check_case> check_cases{
    {"no field", {{"Accept", "*/*"}}, key_verdict::missing, "Accept=*/*;"},
    {"known key",
     {{"Accept", "*/*"}, {"Caller-Key", "k2"}},
     key_verdict::known,
     "Accept=*/*;Caller-Name=pulo780;"},
    {"name in other letters", {{"CALLER-KEY", "k3"}}, key_verdict::known, "Caller-Name=jota;"},
    {"unknown key", {{"Caller-Key", "k4"}, {"A", "b"}}, key_verdict::unknown, "A=b;"},
    {"part of a key", {{"Caller-Key", "k"}}, key_verdict::unknown, ""},
    {"empty key", {{"Caller-Key", ""}}, key_verdict::missing, ""},
    {"the same key twice", {{"Caller-Key", "k1"}, {"caller-key", "k1"}}, key_verdict::several, ""},
    {"the caller names an account", {{"Caller-Name", "jota"}}, key_verdict::missing, ""},
    {"the caller names another account",
     {{"caller-name", "jota"}, {"Caller-Key", "k1"}, {"Caller-Name", "x"}},
     key_verdict::known,
     "Caller-Name=pulo780;"},
};

std::string to_text(const field_list& fields) {
    std::string text;
    for (const header_field& field : fields) {
        text += field.name + "=" + field.value + ";";
    }
    return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(account_checks)

// Guards against a key that reaches a target, against an account that a caller claims by the header field for
// targets, and against a request with several keys, of which nodes could use different ones.
BOOST_DATA_TEST_CASE(targets_get_the_account_and_never_the_key, boost::unit_test::data::make(check_cases),
                     row) {
    const http_dialect dialect = make_dialect();
    const auto accounts = make_accounts();
    const key_check checked = check_key(*accounts, dialect, row.received);
    BOOST_TEST((checked.verdict == row.verdict));
    BOOST_TEST((checked.account != nullptr) == (row.verdict == key_verdict::known));
    request_head received;
    received.headers = row.received;
    received.account = "claimed";
    request_head head = received;
    set_account(dialect, received, checked.account, head);
    BOOST_TEST(to_text(head.headers) == row.forwarded);
    BOOST_TEST(head.account == (checked.account == nullptr ? "" : checked.account->name));
    // A second check of the same request gives the same result.
    set_account(dialect, received, checked.account, head);
    BOOST_TEST(to_text(head.headers) == row.forwarded);
}

// Guards against a dialect without names for these fields that removes fields with an empty name, or accepts
// a request.
BOOST_AUTO_TEST_CASE(a_dialect_without_the_fields_knows_no_key) {
    const auto accounts = make_accounts();
    request_head received;
    received.headers = {{"Caller-Key", "k1"}, {"", "k1"}};
    BOOST_TEST((check_key(*accounts, http_dialect{}, received.headers).verdict == key_verdict::missing));
    request_head head = received;
    set_account(http_dialect{}, received, accounts->find("jota"), head);
    BOOST_TEST(head.headers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
