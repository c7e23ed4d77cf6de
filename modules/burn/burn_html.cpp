#include <fmt/format.h>

#include <algorithm>

#include "modules/burn/burn_report.h"

namespace teaselpitch {
namespace {

constexpr double plot_width = 720;
constexpr double plot_height = 160;
constexpr double plot_margin = 36;
constexpr double plot_range_minutes = 60;

constexpr std::string_view style =
    "body{font:14px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#1b1f24}"
    "table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}"
    "th,td{padding:.3rem .6rem;text-align:right;border-bottom:1px solid #d8dde3}"
    "th:nth-child(-n+2),td:nth-child(-n+2){text-align:left}"
    "tr.over td{background:#fdecea}h2{margin-top:2rem}svg{width:100%;height:auto}"
    ".note{color:#57606a}.missing{color:#b42318}";

std::string escape_html(std::string_view text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
            case '&':
                result += "&amp;";
                break;
            case '<':
                result += "&lt;";
                break;
            case '>':
                result += "&gt;";
                break;
            case '"':
                result += "&quot;";
                break;
            default:
                result += c;
        }
    }
    return result;
}

double allowed_share(const burn_report& report, const std::string& service) {
    const auto objective = report.objectives.find(service);
    const service_objective used =
        objective == report.objectives.end() ? service_objective{} : objective->second;
    return 1.0 - used.good_share;
}

double age_to_x(std::chrono::minutes age) {
    const double usable = plot_width - 2 * plot_margin;
    return plot_width - plot_margin - static_cast<double>(age.count()) / plot_range_minutes * usable;
}

double share_to_y(double share, double top) {
    const double usable = plot_height - 2 * plot_margin;
    return plot_height - plot_margin - std::min(share / top, 1.0) * usable;
}

std::string render_plot(const std::vector<burn_point>& points, double allowed) {
    double top = allowed * 2;
    for (const burn_point& point : points) {
        top = std::max(top, point.bad_share);
    }
    std::string line;
    std::string dots;
    for (const burn_point& point : points) {
        const double x = age_to_x(point.age);
        const double y = share_to_y(point.bad_share, top);
        line += fmt::format("{:.1f},{:.1f} ", x, y);
        dots += fmt::format(
            "<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"#0b62a8\"><title>{} min ago: {:.2f}% of {}"
            "</title></circle>",
            x, y, point.age.count(), point.bad_share * 100, point.total);
    }
    const double limit = share_to_y(allowed, top);
    return fmt::format(
        "<svg viewBox=\"0 0 {0} {1}\" role=\"img\" aria-label=\"bad share of answers by minute\">"
        "<line x1=\"{2}\" y1=\"{3}\" x2=\"{4}\" y2=\"{3}\" stroke=\"#57606a\"/>"
        "<line x1=\"{2}\" y1=\"{5:.1f}\" x2=\"{4}\" y2=\"{5:.1f}\" stroke=\"#b42318\" stroke-dasharray=\"6 "
        "4\"/>"
        "<text x=\"{2}\" y=\"{6:.1f}\" font-size=\"11\" fill=\"#b42318\">allowed {7:.2f}%</text>"
        "<polyline points=\"{8}\" fill=\"none\" stroke=\"#0b62a8\" stroke-width=\"2\"/>{9}"
        "<text x=\"{2}\" y=\"{10}\" font-size=\"11\">60 min ago</text>"
        "<text x=\"{4}\" y=\"{10}\" font-size=\"11\" text-anchor=\"end\">now</text>"
        "<text x=\"{2}\" y=\"14\" font-size=\"11\">top of scale {11:.2f}%</text></svg>",
        plot_width, plot_height, plot_margin, plot_height - plot_margin, plot_width - plot_margin, limit,
        limit - 4, allowed * 100, line, dots, plot_height - plot_margin + 16, top * 100);
}

std::string render_row(const burn_row& row) {
    std::string causes;
    for (std::size_t i = 0; i < outcome_count; ++i) {
        const auto value = static_cast<outcome>(i);
        if (value != outcome::good && value != outcome::caller_fault) {
            causes += fmt::format("<td>{}</td>", row.counts[i]);
        }
    }
    return fmt::format(
        "<tr class=\"{}\"><td>{}</td><td>{}</td><td>{} min</td><td>{}</td><td>{}</td><td>{:.2f}</td>"
        "<td>{:.1f}%</td>{}</tr>\n",
        row.burn_rate > 1 ? "over" : "within", escape_html(row.service), escape_html(row.availability_zone),
        row.window.count(), row.total, row.bad, row.burn_rate, row.budget_left * 100, causes);
}

}  // namespace

std::string format_burn_html(const burn_report& report) {
    std::string page = fmt::format(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>"
        "<style>{}</style></head><body>\n<h1>Service-level burn</h1>\n"
        "<p class=\"note\">Counts are what callers saw at {} nodes. A burn rate of 1 uses the error budget "
        "of "
        "the window exactly.</p>\n",
        style, report.nodes.size());
    for (const std::string& node : report.missing_nodes) {
        page += fmt::format("<p class=\"missing\">{} did not answer; its callers are not counted.</p>\n",
                            escape_html(node));
    }
    page +=
        "<table><thead><tr><th>service</th><th>availability zone</th><th>window</th><th>answers</th>"
        "<th>bad</th><th>burn rate</th><th>budget left</th><th>slow</th><th>refused</th><th>timed out</th>"
        "<th>wrong</th><th>unknown</th></tr></thead><tbody>\n";
    for (const burn_row& row : report.rows) {
        page += render_row(row);
    }
    page += "</tbody></table>\n";
    for (const auto& [service, points] : report.series) {
        page +=
            fmt::format("<h2>{}</h2>\n<p class=\"note\">Bad share of answers by minute, last hour.</p>\n{}\n",
                        escape_html(service), render_plot(points, allowed_share(report, service)));
    }
    return page + "</body></html>\n";
}

}  // namespace teaselpitch
