#include "main/standin_target/fault_plan.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace teaselpitch {
namespace {

namespace json = boost::json;

bool parse_value(const json::value& value, bool& field) {
    if (!value.is_bool()) {
        return false;
    }
    field = value.get_bool();
    return true;
}

bool parse_value(const json::value& value, double& field) {
    if (!value.is_number()) {
        return false;
    }
    field = value.to_number<double>();
    return field >= 0;
}

bool parse_value(const json::value& value, std::int64_t& field) {
    if (!value.is_int64() || value.get_int64() < 0) {
        return false;
    }
    field = value.get_int64();
    return true;
}

bool parse_value(const json::value& value, std::string& field) {
    if (!value.is_string()) {
        return false;
    }
    field.assign(value.get_string().data(), value.get_string().size());
    return true;
}

bool parse_field(fault_plan& plan, std::string_view key, const json::value& value) {
    if (key == "slow_factor") {
        return parse_value(value, plan.slow_factor);
    }
    if (key == "error_rate") {
        return parse_value(value, plan.error_rate) && plan.error_rate <= 1;
    }
    if (key == "hang") {
        return parse_value(value, plan.hang);
    }
    if (key == "probe_ok") {
        return parse_value(value, plan.probes_succeed);
    }
    if (key == "crash_marker") {
        return parse_value(value, plan.crash_marker);
    }
    if (key == "crash_ms") {
        return parse_value(value, plan.restart_delay_ms);
    }
    if (key == "break_answers") {
        return parse_value(value, plan.truncate_answers);
    }
    if (key == "stop_accepting") {
        return parse_value(value, plan.stop_accepting);
    }
    if (key == "flap_period_ms") {
        return parse_value(value, plan.flap_period_ms);
    }
    if (key == "silent") {
        return parse_value(value, plan.unresponsive);
    }
    bool reset = false;
    return key == "reset" && parse_value(value, reset);
}

}  // namespace

bool fault_plan::work_faults_active(steady_time now) const {
    return flap_period_ms == 0 || ((now - flap_start) / std::chrono::milliseconds(flap_period_ms)) % 2 == 0;
}

absl::Status update_fault_plan(fault_plan& plan, std::string_view text, steady_time now) {
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object()) {
        return absl::InvalidArgumentError("request body is not a JSON object");
    }
    const json::object& entries = value.get_object();
    const json::value* reset = entries.if_contains("reset");
    fault_plan next = reset != nullptr && reset->is_bool() && reset->get_bool() ? fault_plan{} : plan;
    for (const auto& entry : entries) {
        const std::string key(entry.key().data(), entry.key().size());
        if (!parse_field(next, key, entry.value())) {
            return absl::InvalidArgumentError("fault \"" + key + "\" is unknown or its value is invalid");
        }
    }
    next.flap_start = now;
    plan = next;
    return absl::OkStatus();
}

std::string format_fault_plan(const fault_plan& plan) {
    json::object entries;
    entries["slow_factor"] = plan.slow_factor;
    entries["error_rate"] = plan.error_rate;
    entries["hang"] = plan.hang;
    entries["probe_ok"] = plan.probes_succeed;
    entries["crash_marker"] = plan.crash_marker;
    entries["crash_ms"] = plan.restart_delay_ms;
    entries["break_answers"] = plan.truncate_answers;
    entries["stop_accepting"] = plan.stop_accepting;
    entries["flap_period_ms"] = plan.flap_period_ms;
    entries["silent"] = plan.unresponsive;
    return json::serialize(entries) + "\n";
}

}  // namespace teaselpitch
