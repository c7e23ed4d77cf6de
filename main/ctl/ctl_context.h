#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "main/ctl/exit_status.h"

namespace teaselpitch {

/// State shared by all commands: the global options, the output streams and the exit status.
struct ctl_context {
    std::ostream& out;  ///< Results.
    std::ostream& err;  ///< Errors and progress.

    std::string log_address{};         ///< ADDRESS:PORT of the log service; empty when not given.
    std::string stream = "table";      ///< Log stream that stores the table.
    std::vector<std::string> nodes{};  ///< ADDRESS:PORT of the admin listeners given with --node.
    std::string output = "text";       ///< Output format: text or json.
    double log_timeout_s = 10;         ///< Maximum time for loading the table or publishing an edit.
    int status = exit_status::ok;      ///< Exit status, set by the command.

    [[nodiscard]] bool json_output() const { return output == "json"; }
};

}  // namespace teaselpitch
