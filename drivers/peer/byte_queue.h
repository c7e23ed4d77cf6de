#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <span>
#include <string>

namespace teaselpitch {

/// First-in, first-out byte buffer. It has no size limit of its own; its user enforces one.
class byte_queue {
public:
    [[nodiscard]] std::size_t size() const { return bytes_.size() - offset_; }
    [[nodiscard]] bool empty() const { return size() == 0; }

    void push(std::span<const std::byte> data) {
        if (offset_ > 0 && offset_ >= size()) {
            bytes_.erase(0, offset_);
            offset_ = 0;
        }
        bytes_.append(reinterpret_cast<const char*>(data.data()), data.size());
    }

    /// Moves up to destination.size() bytes out of the queue; returns their number.
    std::size_t pop(std::span<std::byte> destination) {
        const std::size_t count = std::min(destination.size(), size());
        if (count == 0) {
            return 0;
        }
        std::memcpy(destination.data(), bytes_.data() + offset_, count);
        offset_ += count;
        if (empty()) {
            clear();
        }
        return count;
    }

    void clear() {
        bytes_.clear();
        offset_ = 0;
    }

private:
    std::string bytes_;
    std::size_t offset_ = 0;
};

}  // namespace teaselpitch
