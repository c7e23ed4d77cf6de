#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/identity.h"
#include "main/load/load_options.h"

namespace teaselpitch {

/// A POST request that injects a fault at a scheduled time after the start of the run.
struct scheduled_fault {
    std::chrono::milliseconds at{0};
    endpoint address;
    std::string path;
    std::string body;
    std::string note;

    /// Returns whether the request asks a target to leave gracefully, which is not a fault.
    [[nodiscard]] bool is_leave() const { return path == "/_leave"; }
};

/// Parses a YAML list of maps with at_ms, post ("ADDRESS:PORT PATH [BODY]") and an optional note. The
/// error message contains the number of the entry and the reason.
absl::StatusOr<std::vector<scheduled_fault>> parse_fault_schedule(std::string_view yaml);

/// Returns the name of the target with this address; empty if no target has it.
std::string find_target_name(const std::vector<named_target>& targets, const endpoint& address);

}  // namespace teaselpitch
