#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace teaselpitch {

enum class event_level : std::uint8_t { debug, info, warning, error };

/// One key=value pair of an event line.
class event_field {
public:
    event_field(std::string_view key, std::string_view value);
    event_field(std::string_view key, const char* value) : event_field(key, std::string_view(value)) {}
    event_field(std::string_view key, bool value);
    event_field(std::string_view key, double value);
    template <typename Integer>
    requires std::is_integral_v<Integer> event_field(std::string_view key, Integer value)
        : key_(key), value_(std::to_string(value)) {}

    [[nodiscard]] std::string_view key() const { return key_; }
    [[nodiscard]] std::string_view value() const { return value_; }

private:
    std::string key_;
    std::string value_;
};

/// Formats one event as a line of key=value pairs; values with spaces, quotes or control characters
/// are quoted and escaped.
std::string format_event(std::string_view event, std::initializer_list<event_field> fields);

/// Writes one event as one line: to the stream of the current background_event_writer, or to standard error
/// without one.
void log_event(event_level level, std::string_view event, std::initializer_list<event_field> fields);

/// Sets the lowest level that is written; events below it are discarded.
void set_event_level(event_level minimum_level);

/// Number of lines dropped by the current background_event_writer because its queue was full; 0 without one.
std::uint64_t dropped_event_count();

/// Queues events during its lifetime and writes them on a separate thread, so that a stream that is not read
/// does not block the threads that log. When the queue is full, the oldest lines are dropped and counted.
/// Only one instance may exist at a time, and it must be created before other threads log. The destructor
/// blocks until the queue is written.
class background_event_writer {
public:
    /// Capacity in lines; about as many as a busy node writes in one second.
    static constexpr std::size_t default_queue_capacity = 1'024;

    explicit background_event_writer(std::FILE* stream, std::size_t queue_capacity = default_queue_capacity);
    background_event_writer(const background_event_writer&) = delete;
    background_event_writer& operator=(const background_event_writer&) = delete;
    ~background_event_writer();
};

}  // namespace teaselpitch
