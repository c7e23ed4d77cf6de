#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace teaselpitch {

namespace rcu {
/// Enters a read-side critical section of the calling thread.
void read_lock();
/// Leaves the read-side critical section.
void read_unlock();
/// Blocks for a grace period: until every reader that could have loaded an old value has left its critical
/// section.
void synchronize();
/// Loads a pointer that another thread may publish.
void* load(void* const* pointer);
/// Publishes a pointer and returns the previous one.
void* exchange(void** pointer, void* value);
}  // namespace rcu

/// A value that was read from an rcu_cell; keeps it alive.
///
/// A temporary cannot be dereferenced to a reference: `for (x : *cell.read())` would destroy the temporary
/// before the first iteration, and an update in another thread would free the value under the loop.
template <typename T>
class rcu_snapshot {
public:
    explicit rcu_snapshot(std::shared_ptr<const T> value) : value_(std::move(value)) {}

    const T& operator*() const& { return *value_; }
    const T& operator*() const&& = delete;
    /// Valid until the end of the full expression when used on a temporary.
    const T* operator->() const { return value_.get(); }
    operator std::shared_ptr<const T>() const { return value_; }

private:
    std::shared_ptr<const T> value_;
};

/// Holds an immutable value that many threads read without a lock and few threads replace as a whole.
///
/// A reader copies a shared pointer in a read-side critical section, so the value stays valid across
/// suspension points. A writer blocks for a grace period, so updates are made on the control thread.
template <typename T>
class rcu_cell {
public:
    explicit rcu_cell(std::shared_ptr<const T> initial)
        : slot_(new std::shared_ptr<const T>(std::move(initial))) {}
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;
    ~rcu_cell() { delete static_cast<std::shared_ptr<const T>*>(slot_); }

    /// Returns the current value.
    [[nodiscard]] rcu_snapshot<T> read() const {
        rcu::read_lock();
        std::shared_ptr<const T> value = *static_cast<const std::shared_ptr<const T>*>(rcu::load(&slot_));
        rcu::read_unlock();
        return rcu_snapshot<T>(std::move(value));
    }

    /// Replaces the value and frees the old one after a grace period.
    void update(std::shared_ptr<const T> value) {
        auto* next = new std::shared_ptr<const T>(std::move(value));
        const std::lock_guard lock(write_mutex_);
        auto* previous = static_cast<std::shared_ptr<const T>*>(rcu::exchange(&slot_, next));
        rcu::synchronize();
        delete previous;
    }

private:
    void* slot_;
    std::mutex write_mutex_;
};

}  // namespace teaselpitch
