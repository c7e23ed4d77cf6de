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

constexpr int status_failed = 1;
constexpr int status_usage = 2;
constexpr int status_violation = 4;

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
    bool without_in_force = false;
};

void add_load_options(CLI::App& app, load_arguments& arguments) {
    load_options& load = arguments.load;
    app.add_option("--caller", arguments.callers, "Caller listener ADDRESS:PORT; repeatable");
    app.add_option("--host", load.hosts, "Host header, one for each service; repeatable");
    app.add_option("--rate", load.rate, "Arrivals per second")->check(CLI::Range(0.1, 100'000.0));
    app.add_option("--duration-s", arguments.duration_s, "Time of arrivals")->check(CLI::Range(0.1, 3'600.0));
    app.add_option("--warm-up-s", arguments.warm_up_s, "Calls before it are judged and not measured")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--get-share", load.mix.get, "Share of GET")->check(CLI::Range(0.0, 1.0));
    app.add_option("--post-share", load.mix.unkeyed_post, "Share of POST without a key; the rest is keyed")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--resent-share", load.mix.resent, "Share of keyed requests that are re-sent")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--resend-after-ms", arguments.resend_after_ms, "Time from a first send to its re-send")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--timeout-ms", arguments.timeout_ms, "Time that a call may take")
        ->check(CLI::PositiveNumber);
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
    app.add_option("--check", arguments.check, "Only judges a recorded history")->check(CLI::ExistingFile);
    app.add_option("--output", arguments.output, "text or json")->check(CLI::IsMember({"text", "json"}));
    app.add_flag("--no-in-force-check", arguments.without_in_force,
                 "The run cuts nodes off from the log, where the limit for edits does not apply");
    app.add_flag("--print-time", arguments.print_time, "Prints the monotonic time in microseconds");
}

absl::Status parse_endpoints(const std::vector<std::string>& texts, std::vector<endpoint>& into) {
    for (const std::string& text : texts) {
        const absl::StatusOr<endpoint> parsed = parse_endpoint(text);
        if (!parsed.ok()) {
            return parsed.status();
        }
        into.push_back(*parsed);
    }
    return absl::OkStatus();
}

absl::Status finish_options(load_arguments& arguments) {
    using seconds = std::chrono::duration<double>;
    load_options& load = arguments.load;
    load.duration = std::chrono::duration_cast<std::chrono::milliseconds>(seconds(arguments.duration_s));
    load.warm_up = std::chrono::duration_cast<std::chrono::milliseconds>(seconds(arguments.warm_up_s));
    load.timeout = std::chrono::milliseconds(arguments.timeout_ms);
    load.resend_after = std::chrono::milliseconds(arguments.resend_after_ms);
    absl::Status status = parse_endpoints(arguments.callers, load.callers);
    status.Update(parse_endpoints(arguments.nodes, load.nodes));
    for (const std::string& text : arguments.targets) {
        const std::size_t mark = text.find('=');
        const std::string address = mark == std::string::npos ? text : text.substr(mark + 1);
        const absl::StatusOr<endpoint> parsed = parse_endpoint(address);
        status.Update(parsed.status());
        if (parsed.ok()) {
            load.targets.push_back({text.substr(0, mark), *parsed});
        }
    }
    if (status.ok() && (load.callers.empty() || load.hosts.empty())) {
        return absl::InvalidArgumentError("--caller and --host are needed");
    }
    if (load.mix.get + load.mix.unkeyed_post > 1) {
        return absl::InvalidArgumentError("--get-share and --post-share add up to more than 1");
    }
    return status;
}

int fail(int status, std::string_view reason) {
    std::fprintf(stderr, "teaselpitch-load: %.*s\n", static_cast<int>(reason.size()), reason.data());
    return status;
}

int fail(int status, const absl::Status& reason) {
    return fail(status, std::string_view(reason.message().data(), reason.message().size()));
}

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

int report(const load_arguments& arguments, const load_result& result) {
    history_limits limits;
    limits.check_in_force = !arguments.without_in_force;
    const load_summary summary =
        summarize(arguments.load, result, history_checker(limits).check(result.recorded));
    const std::string text = arguments.output == "json" ? format_json(summary) : format_text(summary);
    std::fputs(text.c_str(), stdout);
    return summary.violations.empty() ? 0 : status_violation;
}

int check_only(load_arguments& arguments) {
    std::ifstream in(arguments.check);
    absl::StatusOr<history> recorded = read_history(in);
    if (!recorded.ok()) {
        return fail(status_failed, recorded.status());
    }
    load_result result;
    result.recorded = *std::move(recorded);
    for (const call_record& call : result.recorded.calls) {
        result.started = result.started == 0 ? call.start : std::min(result.started, call.start);
        result.ended = std::max(result.ended, call.end);
    }
    arguments.load.warm_up = {};
    return report(arguments, result);
}

int run(load_arguments& arguments) {
    const absl::StatusOr<std::vector<scheduled_fault>> faults =
        parse_fault_schedule(arguments.faults.empty() ? "" : read_file(arguments.faults));
    if (!faults.ok()) {
        return fail(status_usage, faults.status());
    }
    absl::StatusOr<load_result> result = run_load(arguments.load, *faults);
    if (!result.ok()) {
        return fail(status_failed, result.status());
    }
    if (!arguments.events.empty()) {
        const absl::Status added = add_events(read_file(arguments.events), result->recorded);
        if (!added.ok()) {
            return fail(status_failed, added);
        }
    }
    if (!arguments.history.empty()) {
        std::ofstream out(arguments.history);
        write_history(out, result->recorded);
        if (!out.flush()) {
            return fail(status_failed, "cannot write " + arguments.history);
        }
    }
    return report(arguments, *result);
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
        return app.exit(error) == 0 ? 0 : status_usage;
    }
    if (arguments.print_time) {
        std::printf("%lld\n", static_cast<long long>(monotonic_now()));
        return 0;
    }
    if (!arguments.check.empty()) {
        return check_only(arguments);
    }
    if (const absl::Status status = finish_options(arguments); !status.ok()) {
        return fail(status_usage, status);
    }
    return run(arguments);
}

}  // namespace teaselpitch
