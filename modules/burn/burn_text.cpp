#include <fmt/format.h>

#include "modules/burn/burn_report.h"

namespace teaselpitch {

std::string format_burn_text(const burn_report& report) {
    std::string text = fmt::format("{:<16} {:<14} {:>7} {:>10} {:>8} {:>9} {:>8}  {}\n", "service", "zone",
                                   "window", "answers", "bad", "burn rate", "budget", "used by");
    for (const burn_row& row : report.rows) {
        std::string causes;
        for (std::size_t i = 0; i < outcome_count; ++i) {
            const auto value = static_cast<outcome>(i);
            if (value != outcome::good && value != outcome::caller_fault && row.counts[i] > 0) {
                causes += fmt::format("{}={} ", to_string(value), row.counts[i]);
            }
        }
        text += fmt::format("{:<16} {:<14} {:>6}m {:>10} {:>8} {:>9.2f} {:>7.1f}%  {}\n", row.service,
                            row.availability_zone, row.window.count(), row.total, row.bad, row.burn_rate,
                            row.budget_left * 100, causes);
    }
    text += fmt::format("nodes that answered: {}\n", report.nodes.size());
    for (const std::string& node : report.missing_nodes) {
        text += fmt::format("missing: {} did not answer; its callers are not counted\n", node);
    }
    return text;
}

}  // namespace teaselpitch
