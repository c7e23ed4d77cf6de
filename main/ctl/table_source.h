#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "main/ctl/ctl_context.h"
#include "main/ctl/log_session.h"
#include "servers/table/table_csv.h"

namespace teaselpitch {

/// Opens the log of the options and reads it to its end. Null after a failure, which is reported and
/// sets the exit status.
std::unique_ptr<log_session> open_session(ctl_context& context, std::set<std::uint64_t> keep = {});

/// A table of the log by version; null after a failure, which is reported and sets the exit status.
std::shared_ptr<const table> find_version(ctl_context& context, const log_session& session,
                                          std::uint64_t version);

/// Reads and checks a file. Empty after a failure: each issue is reported with the path of the file.
std::optional<parsed_table> read_table_file(ctl_context& context, const std::string& path);

/// Reads a whole file; empty when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Reports a failure and sets the exit status.
void fail(ctl_context& context, int status, const std::string& reason);

}  // namespace teaselpitch
