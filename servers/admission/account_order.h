#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace teaselpitch {

/// A queued request as far as it determines the order between accounts.
struct account_order_item {
    std::uint32_t rank = 0;
    bool has_account = false;
    std::uint64_t account = 0;
    std::chrono::nanoseconds work{0};  ///< Expected.
};

/// Expected work of the running requests of each account.
using work_by_account = absl::flat_hash_map<std::uint64_t, std::chrono::nanoseconds>;

/// Returns the indexes of the items in the order in which they are to run. Items of one account must be
/// passed in their own order.
///
/// Lower ranks run first. Within a rank, requests without an account run first: while accounts are in use,
/// these are calls of running requests, which hold slots until the calls are answered. Then the accounts
/// take turns by the work that they hold: a request runs before another one when the running work of its
/// account, with the queued work up to and including the request, is less. An account with many requests
/// therefore delays only its own, and each account with a queued request gets its turn.
std::vector<std::size_t> order_by_account(std::span<const account_order_item> items,
                                          const work_by_account& running);

}  // namespace teaselpitch
