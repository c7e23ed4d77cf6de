#include "servers/admission/account_check.h"

#include <string>

#include "absl/strings/match.h"

namespace teaselpitch {
namespace {

/// True when a field has this name; an empty name belongs to no field.
bool has_name(const header_field& field, std::string_view name) {
    return !name.empty() && absl::EqualsIgnoreCase(absl::string_view(field.name.data(), field.name.size()),
                                                   absl::string_view(name.data(), name.size()));
}

}  // namespace

std::string_view to_string(key_verdict verdict) {
    switch (verdict) {
        case key_verdict::known:
            return "known";
        case key_verdict::missing:
            return "missing";
        case key_verdict::unknown:
            return "unknown";
        case key_verdict::several:
            break;
    }
    return "several";
}

std::string_view describe(key_verdict verdict) {
    switch (verdict) {
        case key_verdict::known:
            return "the key belongs to an account";
        case key_verdict::missing:
            return "the request has no key and the route is not public";
        case key_verdict::unknown:
            return "the key of the request belongs to no account";
        case key_verdict::several:
            break;
    }
    return "the request has more than one key";
}

key_check check_key(const account_directory& accounts, const http_dialect& dialect,
                    std::span<const header_field> received) {
    const header_field* key = nullptr;
    for (const header_field& field : received) {
        if (!has_name(field, dialect.account_key_field)) {
            continue;
        }
        if (key != nullptr) {
            return {key_verdict::several, nullptr};
        }
        key = &field;
    }
    if (key == nullptr || key->value.empty()) {
        return {key_verdict::missing, nullptr};
    }
    const client_account* account = accounts.find_by_key(key->value);
    return {account == nullptr ? key_verdict::unknown : key_verdict::known, account};
}

void set_account(const http_dialect& dialect, const request_head& received, const client_account* account,
                 request_head& head) {
    head.headers.clear();
    for (const header_field& field : received.headers) {
        if (!has_name(field, dialect.account_key_field) && !has_name(field, dialect.account_field)) {
            head.headers.push_back(field);
        }
    }
    head.account = account == nullptr ? std::string() : account->name;
    if (account != nullptr && !dialect.account_field.empty()) {
        head.headers.push_back({dialect.account_field, account->name});
    }
}

}  // namespace teaselpitch
