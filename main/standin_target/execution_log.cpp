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

std::uint64_t execution_log::start(std::string_view call_id, std::string_view idempotency_key,
                                   std::uint64_t incarnation) {
    entries_.push_back(
        {std::string(call_id), std::string(idempotency_key), incarnation, monotonic_us(), 0, "running"});
    return entries_.size() - 1;
}

void execution_log::finish(std::uint64_t sequence, std::string_view state) {
    entry& ended = entries_.at(sequence);
    if (ended.end_us == 0) {
        ended.end_us = monotonic_us();
        ended.state = state;
    }
}

void execution_log::crash() {
    for (std::uint64_t i = 0; i < entries_.size(); ++i) {
        finish(i, "crashed");
    }
}

std::string execution_log::format_from(std::uint64_t sequence) const {
    std::string lines;
    for (std::uint64_t i = sequence; i < entries_.size(); ++i) {
        const entry& row = entries_[i];
        lines += "{\"sequence\":" + std::to_string(i) + ",\"call_id\":" + json_quote(row.call_id) +
                 ",\"idempotency_key\":" + json_quote(row.idempotency_key) +
                 ",\"incarnation\":" + std::to_string(row.incarnation) +
                 ",\"start_us\":" + std::to_string(row.start_us) +
                 ",\"end_us\":" + std::to_string(row.end_us) + ",\"state\":" + json_quote(row.state) + "}\n";
    }
    return lines;
}

}  // namespace teaselpitch
