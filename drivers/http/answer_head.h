#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "drivers/http/asio_types.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Maximum number of interim (1xx) answers before an answer.
constexpr int max_interim_answers = 16;

/// Checks the bytes of an answer's head as they arrive, and reports errors that the Beast parser accepts or
/// notices only at the end of the head.
class answer_head_checker {
public:
    /// Checks the bytes that were added since the last call; the block starts with the status line. Returns a
    /// description of the first error; empty without one.
    std::optional<std::string> check(std::string_view block);

    /// The whole head, with its empty line, was checked.
    [[nodiscard]] bool complete() const { return complete_; }

private:
    std::optional<std::string> check_byte(std::string_view block);
    [[nodiscard]] std::optional<std::string> check_status_line_byte(char c, std::size_t offset) const;
    std::optional<std::string> check_field_byte(char c, std::size_t offset);
    std::optional<std::string> end_line(std::string_view line);
    std::optional<std::string> check_framing_field(std::string_view name, std::string_view value);

    std::size_t position_ = 0;
    std::size_t line_start_ = 0;
    bool in_name_ = false;
    bool is_http_1_0_ = false;
    bool has_length_ = false;
    bool has_coding_ = false;
    bool complete_ = false;
};

/// How reading an answer's head ended. Both members are empty when the buffer starts with a valid head.
struct answer_head_failure {
    error_code error;       ///< The connection failed or ended.
    std::string malformed;  ///< Description of an error in the received bytes.
};

/// Reads until the buffer contains the whole head of an answer, and stops at the first error in it. The head
/// is left in the buffer for the parser.
template <typename Stream>
awaitable<answer_head_failure> read_answer_head(Stream& stream, beast::flat_buffer& buffer,
                                                std::size_t max_header_bytes) {
    constexpr std::size_t read_bytes = std::size_t{16} * 1024;
    answer_head_failure failure;
    answer_head_checker checker;
    while (true) {
        const std::string_view block(static_cast<const char*>(buffer.cdata().data()), buffer.size());
        if (auto malformed = checker.check(block)) {
            failure.malformed = *std::move(malformed);
            co_return failure;
        }
        if (checker.complete()) {
            co_return failure;
        }
        if (buffer.size() >= std::min(max_header_bytes, buffer.max_size())) {
            failure.malformed = "the header exceeds the size limit";
            co_return failure;
        }
        const std::size_t room = std::min(read_bytes, buffer.max_size() - buffer.size());
        auto [error, size] = co_await stream.async_read_some(buffer.prepare(room), tuple_awaitable);
        buffer.commit(size);
        if (error) {
            failure.error = error;
            co_return failure;
        }
    }
}

}  // namespace teaselpitch
