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

/// Connects to the log given with --log and reads it to its end, retaining the given versions. On failure,
/// reports it, sets the exit status and returns null.
std::unique_ptr<log_session> open_session(ctl_context& context,
                                          std::set<std::uint64_t> retained_versions = {});

/// Returns a retained table by version. On failure, reports it, sets the exit status and returns null.
std::shared_ptr<const table> find_version(ctl_context& context, const log_session& session,
                                          std::uint64_t version);

/// Reads and validates a table file. On failure, reports each issue with the path, sets the exit status and
/// returns an empty value.
std::optional<parsed_table> read_table_file(ctl_context& context, const std::string& path);

/// Reads a whole file. Returns an empty value when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Reports a failure and sets the exit status.
void report_failure(ctl_context& context, int status, const std::string& reason);

}  // namespace teaselpitch
