#pragma once

#include <memory>
#include <string>

#include "main/ctl/ctl_context.h"
#include "main/ctl/log_session.h"
#include "servers/table/table.h"

namespace teaselpitch {

struct publish_options {
    std::string author;  ///< The value of $USER when empty.
    std::string comment;
    bool wait = false;
    double wait_timeout_s = 10;
};

/// Publishes the differences between `base` and `new_table` as one edit, prints the verdict and sets the exit
/// status. `edit_file` is the path of the file that contains the edit, or empty.
void publish_table(ctl_context& context, log_session& session, const std::shared_ptr<const table>& base,
                   const table& new_table, const publish_options& options, const std::string& edit_file);

}  // namespace teaselpitch
