#pragma once

#include <cstddef>

#include "servers/admission/memory_budget.h"

namespace teaselpitch {

/// One holder of a memory budget for the lifetime of the object. Without a budget nothing is counted and
/// everything is allowed.
class memory_account {
public:
    memory_account(memory_budget* budget, const void* owner);
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    ~memory_account();

    // Commands.
    void charge(std::size_t bytes);
    bool try_charge(std::size_t bytes, memory_mark mark);
    void release(std::size_t bytes);
    void note_progress();
    void set_sent(bool sent);

    // Queries.
    [[nodiscard]] memory_budget* budget() const { return budget_; }
    [[nodiscard]] memory_budget::holder_id id() const { return id_; }
    [[nodiscard]] memory_mark mark() const;

private:
    memory_budget* budget_;
    memory_budget::holder_id id_ = 0;
};

/// Bytes that are charged to an account until the object is destroyed.
class memory_charge {
public:
    explicit memory_charge(memory_account* account = nullptr) : account_(account) {}
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;
    ~memory_charge() { set(0); }

    /// Replaces the charge without a check.
    void set(std::size_t bytes);
    /// Adds bytes unless the budget would exceed the mark; false when it would.
    bool try_add(std::size_t bytes, memory_mark mark);

private:
    memory_account* account_;
    std::size_t bytes_ = 0;
};

/// Counts a body that waits for memory.
class memory_waiter {
public:
    explicit memory_waiter(memory_budget& budget) : budget_(budget) { budget_.add_waiting(1); }
    memory_waiter(const memory_waiter&) = delete;
    memory_waiter& operator=(const memory_waiter&) = delete;
    ~memory_waiter() { budget_.add_waiting(-1); }

private:
    memory_budget& budget_;
};

}  // namespace teaselpitch
