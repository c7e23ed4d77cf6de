#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/identity.h"
#include "main/load/load_options.h"

namespace teaselpitch {

/// One POST that the run sends at its moment.
struct scheduled_fault {
    std::chrono::milliseconds at{0};
    endpoint address;
    std::string path;
    std::string body;
    std::string note;

    /// Tells a target to leave instead of making it faulty.
    [[nodiscard]] bool is_leave() const { return path == "/_leave"; }
};

/// Parses a YAML list of maps with at_ms, post ("ADDRESS:PORT PATH [BODY]") and an optional note. An error
/// names the entry and the reason.
absl::StatusOr<std::vector<scheduled_fault>> parse_fault_schedule(std::string_view yaml);

/// The name of the target at this address; empty when the address is not a target's.
std::string target_at(const std::vector<named_target>& targets, const endpoint& address);

}  // namespace teaselpitch
