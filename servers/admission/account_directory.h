#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "servers/admission/account_quota.h"

namespace teaselpitch {

/// An account whose callers identify themselves by a key.
struct client_account {
    std::string name;                     ///< Sent to targets as a header value.
    std::vector<std::string> keys;        ///< Empty in the accounts that a directory returns.
    std::optional<std::uint32_t> rank{};  ///< Overrides the rank of the route; 0 is the highest.
    account_quota quota{};
};

/// The client accounts of one configuration, by key and by name. Immutable, so threads share it without a
/// lock.
///
/// Keys are found by a hash with a seed that is drawn once per process, and then compared in a time that does
/// not depend on the compared bytes. The time of a lookup therefore reveals nothing about how close a guess
/// is to a key.
class account_directory {
public:
    /// A directory without accounts: requests need no key.
    account_directory() = default;

    /// Builds a directory. InvalidArgument: an account without a name, with a name that is no header value,
    /// with an empty key, two accounts with one name or one key, a negative or infinite
    /// quota, or a burst without a rate. The message contains no key.
    static absl::StatusOr<std::shared_ptr<const account_directory>> make(
        std::vector<client_account> accounts);

    /// Returns the account that the key belongs to; null for an unknown key. Valid as long as the directory.
    [[nodiscard]] const client_account* find_by_key(std::string_view key) const;
    /// Returns the account with this name; null without one. Valid as long as the directory.
    [[nodiscard]] const client_account* find(std::string_view name) const;
    [[nodiscard]] bool empty() const { return accounts_.empty(); }
    [[nodiscard]] std::size_t size() const { return accounts_.size(); }
    /// Accounts whose keys were all withdrawn; nobody can use them until a later version adds a key.
    [[nodiscard]] const std::vector<std::string>& names_without_keys() const { return names_without_keys_; }

private:
    /// A key, whose text ends where the text of the next entry begins.
    struct key_entry {
        std::uint64_t hash = 0;
        std::uint32_t account = 0;  ///< Position in accounts_.
        std::uint32_t text = 0;     ///< Position in key_text_.
    };
    struct unplaced_key;

    absl::Status index_keys();
    absl::Status place_keys(const std::vector<unplaced_key>& keys);
    [[nodiscard]] std::string_view text_of(std::size_t entry) const;

    std::vector<client_account> accounts_;  ///< By name.
    std::vector<key_entry> keys_;           ///< By hash.
    std::string key_text_;                  ///< All keys in the order of keys_.
    std::vector<std::string> names_without_keys_;
};

}  // namespace teaselpitch
