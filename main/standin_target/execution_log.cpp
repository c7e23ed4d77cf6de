#include "main/standin_target/execution_log.h"

#include <ctime>

#include "drivers/http/error_reply.h"

namespace teaselpitch {
namespace {

std::int64_t monotonic_us() {
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000;
}

}  // namespace

std::uint64_t execution_log::record_start(std::string_view call_id, std::string_view idempotency_key,
                                          std::uint64_t incarnation) {
    entries_.push_back(
        {std::string(call_id), std::string(idempotency_key), incarnation, monotonic_us(), 0, "running"});
    return entries_.size() - 1;
}

void execution_log::record_end(std::uint64_t sequence, std::string_view state) {
    entry& execution = entries_.at(sequence);
    if (execution.end_us == 0) {
        execution.end_us = monotonic_us();
        execution.state = state;
    }
}

void execution_log::mark_running_as_crashed() {
    for (std::uint64_t i = 0; i < entries_.size(); ++i) {
        record_end(i, "crashed");
    }
}

std::string execution_log::format_json_lines(std::uint64_t sequence) const {
    std::string lines;
    for (std::uint64_t i = sequence; i < entries_.size(); ++i) {
        const entry& execution = entries_[i];
        lines += "{\"sequence\":" + std::to_string(i) + ",\"call_id\":" + json_quote(execution.call_id) +
                 ",\"idempotency_key\":" + json_quote(execution.idempotency_key) +
                 ",\"incarnation\":" + std::to_string(execution.incarnation) +
                 ",\"start_us\":" + std::to_string(execution.start_us) +
                 ",\"end_us\":" + std::to_string(execution.end_us) +
                 ",\"state\":" + json_quote(execution.state) + "}\n";
    }
    return lines;
}

}  // namespace teaselpitch
