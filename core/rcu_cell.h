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
    [[nodiscard]] std::shared_ptr<const T> read() const {
        rcu::read_lock();
        std::shared_ptr<const T> value = *static_cast<const std::shared_ptr<const T>*>(rcu::load(&slot_));
        rcu::read_unlock();
        return value;
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
