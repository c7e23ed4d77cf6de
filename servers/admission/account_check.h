#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "servers/admission/account_directory.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

/// What the header fields of a request say about its account.
enum class key_verdict : std::uint8_t {
    known,
    missing,  ///< No field with a key.
    unknown,  ///< The key belongs to no account, or no longer does.
    several,  ///< More than one field with a key.
};

/// Name of the verdict in metrics.
std::string_view to_string(key_verdict verdict);
/// One sentence for the caller and the log; it contains no part of the key.
std::string_view describe(key_verdict verdict);

struct key_check {
    key_verdict verdict = key_verdict::missing;
    const client_account* account = nullptr;  ///< Set for a known key; valid as long as the directory.
};

/// Finds the account of the key in a request's header fields, as the caller sent them.
key_check check_key(const account_directory& accounts, const http_dialect& dialect,
                    std::span<const header_field> received);

/// Prepares a request for targets and other nodes: sets its account, removes the key and the caller's own
/// value of the account field, and adds the account field. `account` is null for a request without one.
void set_account(const http_dialect& dialect, const request_head& received, const client_account* account,
                 request_head& head);

}  // namespace teaselpitch
