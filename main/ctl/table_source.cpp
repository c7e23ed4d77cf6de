#include "main/ctl/table_source.h"

#include <chrono>
#include <fstream>
#include <sstream>

namespace teaselpitch {

void report_failure(ctl_context& context, int status, const std::string& reason) {
    context.err << "error: " << reason << '\n';
    context.status = status;
}

std::unique_ptr<log_session> open_session(ctl_context& context, std::set<std::uint64_t> retained_versions) {
    const auto address = parse_endpoint(context.log_address);
    if (!address.ok()) {
        report_failure(context, exit_status::bad_usage,
                       context.log_address.empty() ? "--log ADDRESS:PORT is required"
                                                   : "--log " + context.log_address + " is not ADDRESS:PORT");
        return nullptr;
    }
    auto session = std::make_unique<log_session>(log_client_settings{*address, context.stream});
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(context.log_timeout_s));
    if (const absl::Status status = session->load(std::move(retained_versions), timeout); !status.ok()) {
        report_failure(context, exit_status::failed,
                       "log " + context.log_address + ": " + std::string(status.message()));
        return nullptr;
    }
    return session;
}

std::shared_ptr<const table> find_version(ctl_context& context, const log_session& session,
                                          std::uint64_t version) {
    auto value = session.version(version);
    if (!value) {
        report_failure(context, exit_status::failed,
                       "version " + std::to_string(version) + " is not on the log; the current version is " +
                           std::to_string(session.replica().version()));
    }
    return value;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return std::nullopt;
    }
    return text.str();
}

std::optional<parsed_table> read_table_file(ctl_context& context, const std::string& path) {
    const auto text = read_file(path);
    if (!text || text->empty()) {
        report_failure(context, exit_status::bad_usage, "cannot read " + path + ", or it is empty");
        return std::nullopt;
    }
    parsed_table parsed = parse_table_csv(*text);
    if (parsed.issues.empty()) {
        return parsed;
    }
    for (const table_issue& issue : parsed.issues) {
        context.err << path << ": " << to_string(issue) << '\n';
    }
    report_failure(
        context, exit_status::bad_usage,
        std::to_string(parsed.issues.size()) + " errors; nothing was published, the edit stays in " + path);
    return std::nullopt;
}

}  // namespace teaselpitch
