#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "main/ctl/exit_status.h"

namespace teaselpitch {

/// What the command groups share: the global options, the output and the exit status.
struct ctl_context {
    std::ostream& out;  ///< Results.
    std::ostream& err;  ///< Errors and progress.

    std::string log_address{};         ///< ADDRESS:PORT; empty when not given.
    std::string stream = "table";      ///< Stream of the log.
    std::vector<std::string> nodes{};  ///< ADDRESS:PORT of admin listeners.
    std::string output = "text";       ///< text or json.
    double log_timeout_s = 10;         ///< Longest time to reach the log.
    int status = exit_status::ok;      ///< Set by the command that ran.

    [[nodiscard]] bool json() const { return output == "json"; }
};

}  // namespace teaselpitch
