#pragma once

#include <atomic>
#include <cstddef>

namespace teaselpitch {

/// Number of caller connections that one process may have open. Thread-safe.
class connection_share {
public:
    /// A maximum of 0 is no bound.
    explicit connection_share(std::size_t maximum) : maximum_(maximum) {}

    /// Counts a new connection, and returns false when one connection must be closed for it.
    bool open() { return open_.fetch_add(1) < maximum_ || maximum_ == 0; }
    void close() { open_.fetch_sub(1); }
    [[nodiscard]] std::size_t count() const { return open_.load(); }

private:
    const std::size_t maximum_;
    std::atomic<std::size_t> open_{0};
};

}  // namespace teaselpitch
