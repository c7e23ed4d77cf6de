#pragma once

#include <algorithm>
#include <cstddef>
#include <span>

#include "servers/exchange/exchange.h"

namespace teaselpitch::testing {

/// Request body of many equal bytes, which counts the bytes that were read.
class bulk_body final : public body_reader {
public:
    explicit bulk_body(std::size_t size) : size_(size) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override {
        const std::size_t count = std::min(buffer.size(), size_ - position);
        std::fill_n(buffer.begin(), count, std::byte{'u'});
        position += count;
        co_return count;
    }

    std::size_t position = 0;

private:
    std::size_t size_;
};

}  // namespace teaselpitch::testing
