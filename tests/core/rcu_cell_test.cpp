#include "core/rcu_cell.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

template <typename Snapshot>
concept dereferenceable = requires(Snapshot snapshot) {
    *std::forward<Snapshot>(snapshot);
};

using snapshot = rcu_snapshot<std::vector<int>>;

// Guards against a loop over a value that another thread frees: a temporary snapshot is destroyed before the
// first iteration of a range-based for loop.
static_assert(dereferenceable<const snapshot&>);
static_assert(!dereferenceable<snapshot&&>);
static_assert(std::is_same_v<decltype(std::declval<rcu_cell<std::vector<int>>&>().read()), snapshot>);

}  // namespace

BOOST_AUTO_TEST_SUITE(rcu_cells)

// Guards against a value that is freed while a reader that holds a snapshot still uses it.
BOOST_AUTO_TEST_CASE(snapshot_keeps_its_value_alive) {
    auto first = std::make_shared<const std::vector<int>>(1000, 1);
    const std::weak_ptr<const std::vector<int>> watched = first;
    rcu_cell<std::vector<int>> cell(std::move(first));
    {
        const auto held = cell.read();
        cell.update(std::make_shared<const std::vector<int>>(1000, 2));
        BOOST_TEST(!watched.expired());
        BOOST_TEST((*held)[999] == 1);
        BOOST_TEST(cell.read()->front() == 2);
    }
    BOOST_TEST(watched.expired());
}

// Guards against readers that see a value change or vanish while a writer replaces it.
BOOST_AUTO_TEST_CASE(readers_iterate_while_a_writer_updates) {
    rcu_cell<std::vector<int>> cell(std::make_shared<const std::vector<int>>(64, 0));
    std::atomic<bool> mixed{false};
    std::vector<std::thread> readers;
    readers.reserve(2);
    for (int i = 0; i < 2; ++i) {
        readers.emplace_back([&] {
            for (int round = 0; round < 2000; ++round) {
                const auto values = cell.read();
                for (const int value : *values) {
                    mixed = mixed || value != values->front();
                }
            }
        });
    }
    for (int i = 1; i <= 200; ++i) {
        cell.update(std::make_shared<const std::vector<int>>(64, i));
    }
    for (std::thread& reader : readers) {
        reader.join();
    }
    BOOST_TEST(!mixed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
