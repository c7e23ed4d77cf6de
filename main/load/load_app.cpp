#include "main/load/load_app.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "main/load/call_sender.h"
#include "main/load/load_summary.h"
#include "main/load/run_records.h"

namespace teaselpitch {
namespace {

constexpr int exit_status_failure = 1;
constexpr int exit_status_usage = 2;
constexpr int exit_status_violation = 4;

struct load_arguments {
    load_options load;
    std::vector<std::string> callers;
    std::vector<std::string> nodes;
    std::vector<std::string> targets;
    double duration_s = 10;
    double warm_up_s = 0;
    std::int64_t timeout_ms = 5'000;
    std::int64_t resend_after_ms = 50;
    std::string faults;
    std::string events;
    std::string history;
    std::string check;
    std::string output = "text";
    bool print_time = false;
    bool skip_in_force_check = false;
};

void add_load_options(CLI::App& app, load_arguments& arguments) {
    load_options& load = arguments.load;
    app.add_option("--caller", arguments.callers, "Caller listener ADDRESS:PORT; repeatable");
    app.add_option("--host", load.hosts, "Host header, one for each service; repeatable");
    app.add_option("--rate", load.rate, "Arrivals per second")->check(CLI::Range(0.1, 100'000.0));
    app.add_option("--duration-s", arguments.duration_s, "Duration of the load in seconds")
        ->check(CLI::Range(0.1, 3'600.0));
    app.add_option("--warm-up-s", arguments.warm_up_s,
                   "Initial time whose calls are checked but not measured")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--get-share", load.mix.get, "Share of GET")->check(CLI::Range(0.0, 1.0));
    app.add_option("--post-share", load.mix.unkeyed_post, "Share of POST without a key; the rest is keyed")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--resent-share", load.mix.resent, "Share of keyed requests that are re-sent")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--resend-after-ms", arguments.resend_after_ms,
                   "Time from the first send of a request to its second")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--timeout-ms", arguments.timeout_ms, "Timeout of a call")->check(CLI::PositiveNumber);
    app.add_option("--body-bytes", load.body_bytes, "Size of POST bodies and of answers to GET");
    app.add_option("--account", load.account, "Value of Teaselpitch-Account");
    app.add_option("--seed", load.seed, "Seed of the arrivals");
    app.add_option("--threads", load.threads, "Sending threads")->check(CLI::Range(1, 16));
}

void add_record_options(CLI::App& app, load_arguments& arguments) {
    app.add_option("--target", arguments.targets,
                   "Stand-in target [NAME=]ADDRESS:PORT whose executions are collected; repeatable");
    app.add_option("--node", arguments.nodes, "Admin listener of a node to sample; repeatable");
    app.add_option("--faults", arguments.faults, "Fault schedule, YAML")->check(CLI::ExistingFile);
    app.add_option("--events", arguments.events, "Events of scripts, JSON lines, read at the end");
    app.add_option("--history", arguments.history, "File for the recorded history");
    app.add_option("--check", arguments.check, "Only checks a recorded history")->check(CLI::ExistingFile);
    app.add_option("--output", arguments.output, "text or json")->check(CLI::IsMember({"text", "json"}));
    app.add_flag("--no-in-force-check", arguments.skip_in_force_check,
                 "Skips the time limit for edits, which does not apply to nodes without access to the log");
    app.add_flag("--print-time", arguments.print_time, "Prints the monotonic time in microseconds");
}

absl::Status parse_endpoints(const std::vector<std::string>& texts, std::vector<endpoint>& endpoints) {
    for (const std::string& text : texts) {
        const absl::StatusOr<endpoint> parsed = parse_endpoint(text);
        if (!parsed.ok()) {
            return parsed.status();
        }
        endpoints.push_back(*parsed);
    }
    return absl::OkStatus();
}

absl::Status convert_arguments(load_arguments& arguments) {
    using seconds = std::chrono::duration<double>;
    load_options& load = arguments.load;
    load.duration = std::chrono::duration_cast<std::chrono::milliseconds>(seconds(arguments.duration_s));
    load.warm_up = std::chrono::duration_cast<std::chrono::milliseconds>(seconds(arguments.warm_up_s));
    load.timeout = std::chrono::milliseconds(arguments.timeout_ms);
    load.resend_after = std::chrono::milliseconds(arguments.resend_after_ms);
    absl::Status status = parse_endpoints(arguments.callers, load.callers);
    status.Update(parse_endpoints(arguments.nodes, load.nodes));
    for (const std::string& text : arguments.targets) {
        const std::size_t separator = text.find('=');
        const std::string address = separator == std::string::npos ? text : text.substr(separator + 1);
        const absl::StatusOr<endpoint> parsed = parse_endpoint(address);
        status.Update(parsed.status());
        if (parsed.ok()) {
            load.targets.push_back({text.substr(0, separator), *parsed});
        }
    }
    if (status.ok() && (load.callers.empty() || load.hosts.empty())) {
        return absl::InvalidArgumentError("--caller and --host are required");
    }
    if (load.mix.get + load.mix.unkeyed_post > 1) {
        return absl::InvalidArgumentError("--get-share and --post-share add up to more than 1");
    }
    return status;
}

int report_failure(int status, std::string_view reason) {
    std::fprintf(stderr, "teaselpitch-load: %.*s\n", static_cast<int>(reason.size()), reason.data());
    return status;
}

int report_failure(int status, const absl::Status& reason) {
    return report_failure(status, std::string_view(reason.message().data(), reason.message().size()));
}

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

int check_and_report(const load_arguments& arguments, const load_result& result) {
    history_limits limits;
    limits.check_in_force = !arguments.skip_in_force_check;
    const load_summary summary =
        summarize(arguments.load, result, history_checker(limits).check(result.recorded));
    const std::string text = arguments.output == "json" ? format_json(summary) : format_text(summary);
    std::fputs(text.c_str(), stdout);
    return summary.violations.empty() ? 0 : exit_status_violation;
}

int check_recorded_history(load_arguments& arguments) {
    std::ifstream in(arguments.check);
    absl::StatusOr<history> recorded = read_history(in);
    if (!recorded.ok()) {
        return report_failure(exit_status_failure, recorded.status());
    }
    load_result result;
    result.recorded = *std::move(recorded);
    for (const call_record& call : result.recorded.calls) {
        result.started = result.started == 0 ? call.start : std::min(result.started, call.start);
        result.ended = std::max(result.ended, call.end);
    }
    arguments.load.warm_up = {};
    return check_and_report(arguments, result);
}

int run_and_report(load_arguments& arguments) {
    const absl::StatusOr<std::vector<scheduled_fault>> faults =
        parse_fault_schedule(arguments.faults.empty() ? "" : read_file(arguments.faults));
    if (!faults.ok()) {
        return report_failure(exit_status_usage, faults.status());
    }
    absl::StatusOr<load_result> result = run_load(arguments.load, *faults);
    if (!result.ok()) {
        return report_failure(exit_status_failure, result.status());
    }
    if (!arguments.events.empty()) {
        const absl::Status added = add_events(read_file(arguments.events), result->recorded);
        if (!added.ok()) {
            return report_failure(exit_status_failure, added);
        }
    }
    if (!arguments.history.empty()) {
        std::ofstream out(arguments.history);
        write_history(out, result->recorded);
        if (!out.flush()) {
            return report_failure(exit_status_failure, "cannot write " + arguments.history);
        }
    }
    return check_and_report(arguments, *result);
}

}  // namespace

int run_load_app(int argc, char** argv) {
    CLI::App app("Open-loop load generator with scheduled faults, a recorded history and its checker");
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    load_arguments arguments;
    add_load_options(app, arguments);
    add_record_options(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exit_status_usage;
    }
    if (arguments.print_time) {
        std::printf("%lld\n", static_cast<long long>(monotonic_now()));
        return 0;
    }
    if (!arguments.check.empty()) {
        return check_recorded_history(arguments);
    }
    if (const absl::Status status = convert_arguments(arguments); !status.ok()) {
        return report_failure(exit_status_usage, status);
    }
    return run_and_report(arguments);
}

}  // namespace teaselpitch
