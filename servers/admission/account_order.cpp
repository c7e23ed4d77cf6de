#include "servers/admission/account_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace teaselpitch {

std::vector<std::size_t> order_by_account(std::span<const account_order_item> items,
                                          const work_by_account& running) {
    // First the work that the account holds up to each item, at the end all that it holds.
    work_by_account held = running;
    std::vector<std::chrono::nanoseconds> held_before_end(items.size(), std::chrono::nanoseconds{0});
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].has_account) {
            held_before_end[i] = held[items[i].account] += items[i].work;
        }
    }
    const auto key = [&](std::size_t i) {
        const account_order_item& item = items[i];
        return std::tuple(item.rank, item.has_account, held_before_end[i],
                          item.has_account ? held.at(item.account) : std::chrono::nanoseconds{0});
    };
    std::vector<std::size_t> order(items.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) { return key(left) < key(right); });
    return order;
}

}  // namespace teaselpitch
