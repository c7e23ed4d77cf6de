#pragma once

#include <memory>
#include <string>

#include "main/ctl/ctl_context.h"
#include "main/ctl/log_session.h"
#include "servers/table/table.h"

namespace teaselpitch {

struct publish_options {
    std::string author;  ///< Empty takes the user's login name.
    std::string comment;
    bool wait = false;
    double wait_timeout_s = 10;
};

/// Publishes the rows of `wanted` as one edit on `base`, prints the verdict and sets the exit status.
/// `kept_in` names the file that still holds the edit, or is empty.
void publish_table(ctl_context& context, log_session& session, const std::shared_ptr<const table>& base,
                   const table& wanted, const publish_options& options, const std::string& kept_in);

}  // namespace teaselpitch
