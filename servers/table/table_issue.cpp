#include "servers/table/table_issue.h"

#include <algorithm>

namespace teaselpitch {

std::string to_string(const table_issue& issue) {
    std::string text;
    if (issue.line > 0) {
        text += "line " + std::to_string(issue.line) + ": ";
    }
    if (!issue.key.empty()) {
        text += std::string(to_string(issue.kind)) + " row \"" + issue.key + "\": ";
    } else {
        text += std::string(to_string(issue.kind)) + " rows: ";
    }
    if (!issue.column.empty()) {
        text += "column " + issue.column + ": ";
    }
    return text + issue.reason;
}

std::string to_string(const std::vector<table_issue>& issues, std::size_t limit) {
    std::string text;
    for (std::size_t i = 0; i < std::min(limit, issues.size()); ++i) {
        text += (i > 0 ? "; " : "") + to_string(issues[i]);
    }
    if (issues.size() > limit) {
        text += "; and " + std::to_string(issues.size() - limit) + " more";
    }
    return text;
}

}  // namespace teaselpitch
