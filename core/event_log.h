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

/// Writes one event as one line: to standard error, or to the stream of a background_events that lives.
void log_event(event_level level, std::string_view event, std::initializer_list<event_field> fields);

/// Sets the lowest level that is written.
void set_event_level(event_level lowest);

/// Lines that were dropped because the stream did not take them in time.
std::uint64_t dropped_events();

/// While it lives, events are queued and a thread of its own writes them, so that a stream which is not read
/// holds up nobody. When the queue is full, the oldest lines are dropped and counted. Create it before other
/// threads log, and one at a time; its end waits until the queue is written.
class background_events {
public:
    /// About a second of the lines of a busy node.
    static constexpr std::size_t usual_queue = 1'024;

    explicit background_events(std::FILE* stream, std::size_t queued_lines = usual_queue);
    background_events(const background_events&) = delete;
    background_events& operator=(const background_events&) = delete;
    ~background_events();
};

}  // namespace teaselpitch
