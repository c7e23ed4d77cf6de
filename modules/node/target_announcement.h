#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/identity.h"
#include "servers/routing/ejector.h"

namespace teaselpitch {

/// Announcement of a target, which the target renews every second.
struct announcement {
    target_identity identity;
    std::string service;
    endpoint address;
    std::uint32_t slots = 0;
    target_lifecycle state = target_lifecycle::starting;
    std::uint64_t sequence =
        0;  ///< Increases with each announcement of one incarnation; 0 when not numbered.
    std::chrono::milliseconds remaining_cold_start{
        0};  ///< Time until the target has warmed up after its start.
};

/// A target leaves: it finishes the requests that it has and accepts no new ones.
struct target_departure {
    std::string target;
    std::optional<std::uint64_t> incarnation;  ///< Empty for the latest incarnation that was announced here.
};

/// A message from a target. Exactly one of the members is set.
struct target_call {
    std::optional<announcement> announced;
    std::optional<target_departure> departure;
};

/// Parses the JSON body of POST /v1/announce; INVALID_ARGUMENT describes what is wrong.
absl::StatusOr<announcement> parse_announcement(std::string_view json);

/// Returns the name of a state in announcements and logs.
std::string_view to_string(target_lifecycle state);

}  // namespace teaselpitch
