#include "core/event_log.h"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace teaselpitch {
namespace {

bool needs_quotes(std::string_view text) {
    if (text.empty()) {
        return true;
    }
    for (const char c : text) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
            return true;
        }
    }
    return false;
}

void append_quoted(std::string& line, std::string_view text) {
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (c == '\n') {
            line += "\\n";
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line += c;
        }
    }
    line += '"';
}

void append_pair(std::string& line, std::string_view key, std::string_view value) {
    line += ' ';
    line += key;
    line += '=';
    if (needs_quotes(value)) {
        append_quoted(line, value);
    } else {
        line += value;
    }
}

spdlog::level::level_enum to_spdlog_level(event_level level) {
    switch (level) {
        case event_level::debug:
            return spdlog::level::debug;
        case event_level::info:
            return spdlog::level::info;
        case event_level::warning:
            return spdlog::level::warn;
        case event_level::error:
            return spdlog::level::err;
    }
    return spdlog::level::err;
}

std::shared_ptr<spdlog::logger> apply_event_format(std::shared_ptr<spdlog::logger> created) {
    created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
    created->set_level(spdlog::level::info);
    return created;
}

std::shared_ptr<spdlog::logger> make_stderr_logger() {
    return apply_event_format(
        std::make_shared<spdlog::logger>("events", std::make_shared<spdlog::sinks::stderr_sink_mt>()));
}

std::shared_ptr<spdlog::logger>& event_logger() {
    static std::shared_ptr<spdlog::logger> logger = make_stderr_logger();
    return logger;
}

/// Queue and writer thread of the current background_event_writer; null when events are written
/// synchronously.
std::shared_ptr<spdlog::details::thread_pool>& writer_pool() {
    static std::shared_ptr<spdlog::details::thread_pool> pool;
    return pool;
}

}  // namespace

event_field::event_field(std::string_view key, std::string_view value) : key_(key), value_(value) {}

event_field::event_field(std::string_view key, bool value) : key_(key), value_(value ? "true" : "false") {}

event_field::event_field(std::string_view key, double value)
    : key_(key), value_(fmt::format("{:.6g}", value)) {}

std::string format_event(std::string_view event, std::initializer_list<event_field> fields) {
    std::string line = "event=";
    line += event;
    for (const event_field& field : fields) {
        append_pair(line, field.key(), field.value());
    }
    return line;
}

void log_event(event_level level, std::string_view event, std::initializer_list<event_field> fields) {
    if (event_logger()->should_log(to_spdlog_level(level))) {
        event_logger()->log(to_spdlog_level(level), "{}", format_event(event, fields));
    }
}

void set_event_level(event_level minimum_level) {
    event_logger()->set_level(to_spdlog_level(minimum_level));
}

std::uint64_t dropped_event_count() {
    return writer_pool() ? writer_pool()->overrun_counter() : 0;
}

background_event_writer::background_event_writer(std::FILE* stream, std::size_t queue_capacity) {
    using stream_sink = spdlog::sinks::stdout_sink_base<spdlog::details::console_mutex>;
    writer_pool() = std::make_shared<spdlog::details::thread_pool>(queue_capacity, 1);
    const auto level = event_logger()->level();
    event_logger() = apply_event_format(
        std::make_shared<spdlog::async_logger>("events", std::make_shared<stream_sink>(stream), writer_pool(),
                                               spdlog::async_overflow_policy::overrun_oldest));
    event_logger()->set_level(level);
}

background_event_writer::~background_event_writer() {
    const auto level = event_logger()->level();
    event_logger() = make_stderr_logger();
    event_logger()->set_level(level);
    writer_pool().reset();  // Flushes the queue and joins the writer thread.
}

}  // namespace teaselpitch
