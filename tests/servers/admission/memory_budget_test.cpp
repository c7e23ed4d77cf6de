#include "servers/admission/memory_budget.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <map>
#include <ostream>
#include <thread>
#include <vector>

#include "servers/admission/memory_account.h"
#include "tests/fixed_seed.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t capacity = 1'000;
constexpr memory_budget_options options{.capacity_bytes = capacity};

enum class step_kind {
    add,
    remove,
    charge,
    try_low,
    try_high,
    release,
    progress,
    sent,
    wait,
    pass_time,
    victim
};

struct budget_step {
    step_kind kind;
    std::uint32_t value;
};

std::ostream& operator<<(std::ostream& out, const budget_step& value) {
    return out << static_cast<int>(value.kind) << ":" << value.value;
}

/// Repeats each step on a plain model and compares.
class budget_model {
public:
    void run(const budget_step& next) {
        switch (next.kind) {
            case step_kind::add:
                holders_[budget_.add_holder(&budget_)] = {.progress_at = clock_.now()};
                return;
            case step_kind::wait:
                waiting_ += next.value % 2 == 0 ? 1 : -1;
                waiting_ = std::max(waiting_, 0);
                budget_.add_waiting(waiting_ - added_);
                added_ = waiting_;
                return;
            case step_kind::pass_time:
                return clock_.advance(std::chrono::milliseconds(next.value % 700));
            case step_kind::victim:
                return take_victim();
            default:
                if (!holders_.empty()) {
                    change_holder(next);
                }
        }
    }

    void check() const {
        std::size_t sum = 0;
        for (const auto& [id, entry] : holders_) {
            sum += entry.bytes;
        }
        RC_ASSERT(budget_.held_bytes() == sum);
    }

private:
    struct entry {
        std::size_t bytes = 0;
        steady_time progress_at;
        bool sent = false;
        bool closing = false;
    };

    void change_holder(const budget_step& next) {
        auto found = holders_.begin();
        std::advance(found, static_cast<std::ptrdiff_t>(next.value % holders_.size()));
        const std::size_t bytes = next.value % 400;
        entry& changed = found->second;
        switch (next.kind) {
            case step_kind::remove:
                budget_.remove_holder(found->first);
                holders_.erase(found);
                return;
            case step_kind::charge:
                budget_.charge(found->first, bytes);
                changed.bytes += bytes;
                return;
            case step_kind::try_low:
                return try_charge(found->first, changed, bytes, memory_mark::low);
            case step_kind::try_high:
                return try_charge(found->first, changed, bytes, memory_mark::high);
            case step_kind::release:
                budget_.release(found->first, bytes);
                changed.bytes -= std::min(changed.bytes, bytes);
                return;
            case step_kind::progress:
                budget_.note_progress(found->first);
                changed.progress_at = clock_.now();
                return;
            case step_kind::sent:
                changed.sent = next.value % 3 == 0;
                return budget_.set_sent(found->first, changed.sent);
            default:
                return;
        }
    }

    void try_charge(memory_budget::holder_id id, entry& changed, std::size_t bytes, memory_mark mark) {
        const bool fits = held() + bytes <= budget_.bytes_at(mark);
        const bool granted = budget_.try_charge(id, bytes, mark);
        RC_ASSERT(granted == fits);
        changed.bytes += granted ? bytes : 0;
    }

    void take_victim() {
        const bool critical = held() - closing_bytes() >= capacity;
        const std::optional<memory_budget::holder_id> id = budget_.take_victim(&budget_);
        if (!id) {
            RC_ASSERT(!critical || !any_closable(0ms));
            RC_ASSERT(waiting_ <= closing_count() || !any_closable(options.stall));
            return;
        }
        entry& victim = holders_.at(*id);
        RC_ASSERT(!victim.sent && !victim.closing && victim.bytes > 0);
        RC_ASSERT(critical || waiting_ > closing_count());
        RC_ASSERT(critical || clock_.now() - victim.progress_at >= options.stall);
        for (const auto& [other, value] : holders_) {
            RC_ASSERT(value.sent || value.closing || value.bytes <= victim.bytes ||
                      value.progress_at > victim.progress_at);
        }
        victim.closing = true;
    }

    [[nodiscard]] bool any_closable(std::chrono::milliseconds silent) const {
        return std::any_of(holders_.begin(), holders_.end(), [&](const auto& pair) {
            const entry& value = pair.second;
            return !value.sent && !value.closing && value.bytes > 0 &&
                   clock_.now() - value.progress_at >= silent;
        });
    }
    [[nodiscard]] std::size_t held() const { return budget_.held_bytes(); }
    [[nodiscard]] std::size_t closing_bytes() const {
        std::size_t sum = 0;
        for (const auto& [id, value] : holders_) {
            sum += value.closing ? value.bytes : 0;
        }
        return sum;
    }
    [[nodiscard]] int closing_count() const {
        return static_cast<int>(std::count_if(holders_.begin(), holders_.end(),
                                              [](const auto& pair) { return pair.second.closing; }));
    }

    manual_time_source clock_;
    memory_budget budget_{clock_, options};
    std::map<memory_budget::holder_id, entry> holders_;
    int waiting_ = 0;
    int added_ = 0;
};

const fixed_seed seed;

struct mark_case {
    std::size_t bytes;
    memory_mark mark;
};

std::ostream& operator<<(std::ostream& out, const mark_case& value) {
    return out << value.bytes << " bytes";
}

constexpr mark_case mark_cases[] = {
    {0, memory_mark::calm},         {499, memory_mark::calm},       {500, memory_mark::low},
    {749, memory_mark::low},        {750, memory_mark::high},       {999, memory_mark::high},
    {1'000, memory_mark::critical}, {5'000, memory_mark::critical},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(memory_budget_tests)

// Guards against an account that drifts from what its holders hold, a grant above a mark, and a close of the
// wrong connection: one whose request was sent, one that makes progress, or one that holds less for a shorter
// time than another.
BOOST_AUTO_TEST_CASE(any_sequence_keeps_the_account) {
    const bool held = rc::check("any sequence of steps", [] {
        const auto steps = *rc::gen::container<std::vector<budget_step>>(rc::gen::construct<budget_step>(
            rc::gen::map(rc::gen::inRange(0, 11), [](int kind) { return static_cast<step_kind>(kind); }),
            rc::gen::inRange<std::uint32_t>(0, 10'000)));
        budget_model model;
        for (const budget_step& next : steps) {
            model.run(next);
            model.check();
        }
    });
    BOOST_TEST(held);
}

// Guards against restrictions that begin below or above their mark.
BOOST_DATA_TEST_CASE(marks_begin_at_their_share, mark_cases, row) {
    const mark_case expected = row;
    manual_time_source clock;
    memory_budget budget(clock, options);
    memory_account account(&budget, &budget);
    account.charge(expected.bytes);
    BOOST_TEST((account.mark() == expected.mark));
}

// Guards against a shard that closes connections which belong to the thread of another shard.
BOOST_AUTO_TEST_CASE(a_victim_is_given_to_its_owner_only) {
    manual_time_source clock;
    memory_budget budget(clock, options);
    int first = 0;
    int second = 0;
    const memory_budget::holder_id large = budget.add_holder(&first);
    budget.charge(large, 2 * capacity);
    const memory_budget::holder_id small = budget.add_holder(&second);
    budget.charge(small, 1);
    BOOST_TEST(!budget.take_victim(&second).has_value());
    BOOST_TEST((budget.take_victim(&first) == large));
    BOOST_TEST(!budget.take_victim(&first).has_value());
    BOOST_TEST(budget.count_of(memory_action::critical_closed) == 1U);
}

// Guards against lost updates when shards charge at the same time.
BOOST_AUTO_TEST_CASE(threads_share_one_account) {
    manual_time_source clock;
    memory_budget budget(clock, {.capacity_bytes = std::size_t{1} << 30});
    constexpr std::size_t thread_count = 4;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::size_t i = 0; i < thread_count; ++i) {
        threads.emplace_back([&budget] {
            memory_account account(&budget, nullptr);
            for (int round = 0; round < 10'000; ++round) {
                memory_charge charge(&account);
                (void)charge.try_add(7, memory_mark::low);
                charge.set(3);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(budget.held_bytes() == 0U);
}

// Guards against limits that take effect although none is set.
BOOST_AUTO_TEST_CASE(no_budget_allows_everything) {
    memory_account account(nullptr, nullptr);
    memory_charge charge(&account);
    BOOST_TEST(charge.try_add(std::size_t{1} << 40, memory_mark::low));
    BOOST_TEST((account.mark() == memory_mark::calm));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
