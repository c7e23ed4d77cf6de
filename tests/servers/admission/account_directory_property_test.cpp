#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/admission/account_directory.h"

namespace teaselpitch {
namespace {

/// Texts of at most seven of three characters, so that some are equal and many differ in their length or last
/// byte only.
rc::Gen<std::string> arbitrary_text(std::uint32_t min_length) {
    constexpr std::uint32_t number_of_texts = 3'280;
    // The range would otherwise grow with the number of elements.
    const auto number =
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(min_length, number_of_texts));
    return rc::gen::map(number, [](std::uint32_t rest) {
        std::string text;
        for (; rest > 0; rest = (rest - 1) / 3) {
            text += static_cast<char>('a' + (rest - 1) % 3);
        }
        return text;
    });
}

const std::vector<std::string> names{"a", "aa", "ab", "b", "ba", "c"};

using accounts_by_name = std::map<std::string, std::set<std::string>>;

std::vector<client_account> to_list(const accounts_by_name& accounts) {
    std::vector<client_account> list;
    for (const auto& [name, keys] : accounts) {
        list.push_back({.name = name, .keys = {keys.begin(), keys.end()}});
    }
    return list;
}

/// The account of each key; a key of two accounts has two entries.
std::multimap<std::string, std::string> account_by_key(const accounts_by_name& accounts) {
    std::multimap<std::string, std::string> owners;
    for (const auto& [name, keys] : accounts) {
        for (const std::string& key : keys) {
            owners.emplace(key, name);
        }
    }
    return owners;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(account_directory_properties)

// Guards against a directory that differs from a map of the same accounts: a lost or a wrong account for any
// key, an account for a key that nobody has, or a key of two accounts that is accepted.
BOOST_AUTO_TEST_CASE(a_directory_finds_what_a_map_finds) {
    const bool holds = rc::check("account directory", [] {
        const auto entries = *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
            rc::gen::pair(rc::gen::elementOf(names), arbitrary_text(1)));
        accounts_by_name accounts;
        for (const auto& [name, key] : entries) {
            accounts[name].insert(key);
        }
        const auto probes = *rc::gen::container<std::vector<std::string>>(arbitrary_text(0));
        const auto owners = account_by_key(accounts);
        bool is_valid = true;
        for (const auto& [key, name] : owners) {
            is_valid = is_valid && owners.count(key) == 1;
        }
        const auto made = account_directory::make(to_list(accounts));
        RC_ASSERT(made.ok() == is_valid);
        if (!is_valid) {
            return;
        }
        const account_directory& directory = **made;
        RC_ASSERT(directory.size() == accounts.size());
        for (const auto& [key, name] : owners) {
            RC_ASSERT(directory.find_by_key(key) != nullptr);
            RC_ASSERT(directory.find_by_key(key) == directory.find(name));
        }
        for (const std::string& probe : probes) {
            RC_ASSERT((directory.find_by_key(probe) != nullptr) == owners.contains(probe));
            RC_ASSERT((directory.find(probe) != nullptr) == accounts.contains(probe));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
