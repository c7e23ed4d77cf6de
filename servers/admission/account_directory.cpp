#include "servers/admission/account_directory.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <tuple>
#include <utility>

#include "core/identity.h"

namespace teaselpitch {

/// A key before its text is copied into the directory.
struct account_directory::unplaced_key {
    std::uint64_t hash = 0;
    std::uint32_t account = 0;
    std::string_view text;
};

namespace {

// Longer names could not be forwarded between nodes together with the caller's own header fields.
constexpr std::size_t max_name_bytes = 256;

std::uint64_t draw_seed() {
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> seed;
    return seed(source);
}

std::uint64_t hash_key(std::string_view key) {
    static const std::uint64_t seed = draw_seed();
    return stable_hash(key, seed);
}

/// Compares two texts in a time that depends on their lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right) {
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(left.size(), right.size()); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

absl::Status invalid_account(std::string_view name, std::string_view reason) {
    return absl::InvalidArgumentError("account \"" + std::string(name) + "\" " + std::string(reason));
}

/// A control byte in the name would allow it to add header fields to requests for targets.
bool is_header_value(std::string_view text) {
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    });
}

absl::Status check_quota(const client_account& account) {
    const account_quota& quota = account.quota;
    // The comparisons are false for numbers that are not finite.
    const bool rate_is_valid = quota.requests_per_s >= 0 && std::isfinite(quota.requests_per_s);
    const bool burst_is_valid = quota.burst >= 0 && std::isfinite(quota.burst);
    if (!rate_is_valid || !burst_is_valid) {
        return invalid_account(account.name, "has a quota that is negative or not a number");
    }
    if (quota.burst > 0 && quota.requests_per_s == 0) {
        return invalid_account(account.name, "has a burst without a rate");
    }
    return absl::OkStatus();
}

absl::Status check_account(const client_account& account) {
    if (account.name.empty() || account.name.size() > max_name_bytes || !is_header_value(account.name)) {
        return absl::InvalidArgumentError("an account name is empty, too long or contains a control byte");
    }
    if (std::any_of(account.keys.begin(), account.keys.end(),
                    [](const std::string& key) { return key.empty(); })) {
        return invalid_account(account.name, "has an empty key");
    }
    return check_quota(account);
}

}  // namespace

absl::StatusOr<std::shared_ptr<const account_directory>> account_directory::make(
    std::vector<client_account> accounts) {
    for (const client_account& account : accounts) {
        if (absl::Status valid = check_account(account); !valid.ok()) {
            return valid;
        }
    }
    std::sort(accounts.begin(), accounts.end(),
              [](const client_account& left, const client_account& right) { return left.name < right.name; });
    const auto repeated = std::adjacent_find(
        accounts.begin(), accounts.end(),
        [](const client_account& left, const client_account& right) { return left.name == right.name; });
    if (repeated != accounts.end()) {
        return invalid_account(repeated->name, "is defined more than once");
    }
    auto directory = std::make_shared<account_directory>();
    directory->accounts_ = std::move(accounts);
    if (absl::Status indexed = directory->index_keys(); !indexed.ok()) {
        return indexed;
    }
    return std::shared_ptr<const account_directory>(std::move(directory));
}

absl::Status account_directory::index_keys() {
    std::vector<unplaced_key> keys;
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
        for (const std::string& key : accounts_[i].keys) {
            keys.push_back({hash_key(key), static_cast<std::uint32_t>(i), key});
        }
    }
    std::sort(keys.begin(), keys.end(), [](const unplaced_key& left, const unplaced_key& right) {
        return std::tie(left.hash, left.text, left.account) < std::tie(right.hash, right.text, right.account);
    });
    if (absl::Status placed = place_keys(keys); !placed.ok()) {
        return placed;
    }
    // Separate strings take about 64 bytes more for each key than one text.
    for (client_account& account : accounts_) {
        if (account.keys.empty()) {
            names_without_keys_.push_back(account.name);
        }
        std::vector<std::string>().swap(account.keys);  // An assignment would keep the memory.
    }
    return absl::OkStatus();
}

absl::Status account_directory::place_keys(const std::vector<unplaced_key>& keys) {
    std::size_t bytes = 0;
    for (const unplaced_key& key : keys) {
        bytes += key.text.size();
    }
    if (bytes > std::numeric_limits<std::uint32_t>::max()) {
        return absl::InvalidArgumentError("the keys of all accounts together are too long");
    }
    key_text_.reserve(bytes);
    keys_.reserve(keys.size());
    for (std::size_t i = 0; i < keys.size(); ++i) {
        if (i > 0 && keys[i].text == keys[i - 1].text) {
            if (keys[i].account != keys[i - 1].account) {
                return invalid_account(
                    accounts_[keys[i].account].name,
                    "has a key of account \"" + accounts_[keys[i - 1].account].name + "\"");
            }
            continue;
        }
        keys_.push_back({keys[i].hash, keys[i].account, static_cast<std::uint32_t>(key_text_.size())});
        key_text_.append(keys[i].text);
    }
    return absl::OkStatus();
}

std::string_view account_directory::text_of(std::size_t entry) const {
    const std::size_t begin = keys_[entry].text;
    const std::size_t end = entry + 1 < keys_.size() ? keys_[entry + 1].text : key_text_.size();
    return std::string_view(key_text_).substr(begin, end - begin);
}

const client_account* account_directory::find_by_key(std::string_view key) const {
    const std::uint64_t hash = hash_key(key);
    const auto first =
        std::lower_bound(keys_.begin(), keys_.end(), hash,
                         [](const key_entry& entry, std::uint64_t value) { return entry.hash < value; });
    for (auto entry = first; entry != keys_.end() && entry->hash == hash; ++entry) {
        if (equal_in_constant_time(text_of(static_cast<std::size_t>(entry - keys_.begin())), key)) {
            return &accounts_[entry->account];
        }
    }
    return nullptr;
}

const client_account* account_directory::find(std::string_view name) const {
    const auto found = std::lower_bound(
        accounts_.begin(), accounts_.end(), name,
        [](const client_account& account, std::string_view value) { return account.name < value; });
    return found != accounts_.end() && found->name == name ? &*found : nullptr;
}

}  // namespace teaselpitch
