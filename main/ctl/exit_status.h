#pragma once

namespace teaselpitch::exit_status {

constexpr int ok = 0;
constexpr int failed = 1;     ///< The log or a file could not be used; nothing was changed.
constexpr int bad_usage = 2;  ///< Wrong arguments or an invalid table.
constexpr int conflict = 3;   ///< Another edit on the same base version was accepted first.
constexpr int in_doubt = 4;   ///< The edit may take effect: its verdict could not be read from the log.
constexpr int not_in_effect_everywhere = 5;  ///< Accepted, but not reported by every live node in time.

/// Shown at the end of the help text.
constexpr const char* help =
    "Exit status: 0 ok, 1 failure and nothing changed, 2 bad usage or invalid table, 3 conflict with "
    "another edit, 4 in doubt (the log did not confirm whether the edit was stored), 5 accepted but not in "
    "effect on each live node in time.";

}  // namespace teaselpitch::exit_status
