#include "drivers/settings/node_settings.h"

#include <fstream>
#include <iterator>
#include <map>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t max_threads = 64;
constexpr integer_range header_bytes_range{1024, 1024 * 1024};
constexpr integer_range body_bytes_range{0, std::int64_t{1} << 40};
constexpr integer_range short_time_ms{1, 60'000};
constexpr integer_range long_time_ms{1, 24 * 3'600'000};

void read_identity(settings_section& top, node_settings& out) {
    settings_section node = top.section("node");
    out.name = node.required_text("name");
    out.availability_zone = node.required_text("availability_zone");
    out.region = node.text_or("region", "");
    out.threads = static_cast<std::size_t>(node.integer_or("threads", 2, {1, max_threads}));
    out.tick_factor = static_cast<unsigned>(node.integer_or("tick_factor", 1, {1, 20}));
    node.refuse_unknown_keys();
}

void read_listeners(settings_section& top, node_settings& out) {
    settings_section listen = top.section("listen");
    out.caller_listen = listen.required_endpoint("caller");
    out.admin_listen = listen.required_endpoint("admin");
    out.peer_listen = listen.required_endpoint("peer");
    listen.refuse_unknown_keys();

    settings_section advertise = top.section("advertise");
    out.peer_advertise = advertise.optional_endpoint("peer").value_or(out.peer_listen);
    out.admin_advertise = advertise.optional_endpoint("admin").value_or(out.admin_listen);
    advertise.refuse_unknown_keys();

    const std::string bind = top.text_or("bind_address", "");
    if (!bind.empty()) {
        out.bind_address = bind;
    }
}

void read_store(settings_section& top, node_settings& out) {
    settings_section store = top.section("store");
    store_settings values;
    values.address = store.required_endpoint("address");
    values.readiness_listen = store.required_endpoint("readiness_listen");
    values.heartbeat = store.milliseconds_or("heartbeat_ms", 1500ms, short_time_ms);
    values.drain_limit = store.milliseconds_or("drain_limit_ms", 6s, long_time_ms);
    store.refuse_unknown_keys();
    out.store = values;
    out.claims_enabled = false;
}

void read_beside(settings_section& top, node_settings& out) {
    if (!top.has("beside")) {
        return;
    }
    settings_section beside = top.section("beside");
    neighbour_settings values;
    values.service = beside.required_text("service");
    values.address = beside.required_endpoint("address");
    beside.refuse_unknown_keys();
    out.beside = values;
}

void read_routing(settings_section& top, node_settings& out) {
    constexpr std::int64_t max_kept_bytes = std::int64_t{64} << 20;
    settings_section routing = top.section("routing");
    out.replay_bytes =
        static_cast<std::size_t>(routing.integer_or("replay_bytes", 64 * 1024, {0, max_kept_bytes}));
    out.held_answer_bytes =
        static_cast<std::size_t>(routing.integer_or("held_answer_bytes", 64 * 1024, {0, max_kept_bytes}));
    out.free_slot_hops = static_cast<std::uint32_t>(routing.integer_or("free_slot_hops", 2, {0, 16}));
    out.retry_floor_per_s = routing.number_or("retry_floor_per_s", 1.0, 0.0, 1'000.0);
    if (routing.has("fleet_retries")) {
        settings_section shared = routing.section("fleet_retries");
        fleet_retry_settings values;
        values.ratio = shared.number_or("ratio", 0.0, 0.0, 1.0);
        values.slack = shared.number_or("slack", 0.0, 0.0, 1'000'000.0);
        values.window = std::chrono::seconds(shared.integer_or("window_s", 10, {1, 3'600}));
        shared.refuse_unknown_keys();
        out.fleet_retries = values;
    }
    out.target_idle = routing.milliseconds_or("target_idle_ms", 30s, long_time_ms);
    out.non_idempotent_idle = routing.milliseconds_or("non_idempotent_idle_ms", 30s, long_time_ms);
    out.ping_idle = routing.milliseconds_or("ping_idle_ms", 100ms, short_time_ms);
    out.ping_deadline = routing.milliseconds_or("ping_deadline_ms", 300ms, short_time_ms);
    routing.refuse_unknown_keys();
}

void read_log(settings_section& top, node_settings& out) {
    settings_section log = top.section("log");
    out.log_address = log.required_endpoint("address");
    out.log_stream = log.text_or("stream", "teaselpitch");
    log.refuse_unknown_keys();
    out.seeds = top.endpoints("seeds");
}

void read_limits(settings_section& top, node_settings& out) {
    settings_section limits = top.section("limits");
    out.max_header_bytes =
        static_cast<std::size_t>(limits.integer_or("header_bytes", 16 * 1024, header_bytes_range));
    out.max_body_bytes =
        static_cast<std::uint64_t>(limits.integer_or("body_bytes", std::int64_t{1} << 30, body_bytes_range));
    limits.refuse_unknown_keys();
}

void read_times(settings_section& top, node_settings& out) {
    settings_section times = top.section("times");
    out.default_timeout = times.milliseconds_or("default_timeout_ms", 10s, long_time_ms);
    out.drain_timeout = times.milliseconds_or("drain_timeout_ms", 60s, long_time_ms);
    out.warm_up = times.milliseconds_or("warm_up_ms", 10s, {0, 600'000});
    times.refuse_unknown_keys();
}

void read_claims(settings_section& top, std::vector<settings_fault>& faults, node_settings& out) {
    settings_section claims = top.section("claims");
    out.claim_retention = claims.milliseconds_or("retention_ms", 10min, long_time_ms);
    out.claim_lease = claims.milliseconds_or("lease_ms", 5s, short_time_ms);
    out.claim_margin = claims.milliseconds_or("margin_ms", 2s, short_time_ms);
    out.max_claims = static_cast<std::size_t>(claims.integer_or("max_keys", 200'000, {1, 10'000'000}));
    claims.refuse_unknown_keys();
    if (out.claim_retention < 2 * (out.claim_lease + out.claim_margin)) {
        faults.push_back({"claims.retention_ms", "must be at least twice lease_ms + margin_ms"});
    }
}

void read_level(settings_section& top, node_settings& out) {
    static const std::map<std::string, event_level, std::less<>> levels{{"debug", event_level::debug},
                                                                        {"info", event_level::info},
                                                                        {"warning", event_level::warning},
                                                                        {"error", event_level::error}};
    out.log_level = levels.at(top.choice_or("log_level", "info", {"debug", "info", "warning", "error"}));
}

settings_result read_all(const YAML::Node& document) {
    settings_result result;
    settings_section top(document, "", result.faults);
    read_identity(top, result.settings);
    read_listeners(top, result.settings);
    if (top.has("store")) {
        read_store(top, result.settings);
        result.settings.seeds = top.endpoints("seeds");
    } else {
        read_log(top, result.settings);
    }
    read_beside(top, result.settings);
    read_routing(top, result.settings);
    read_limits(top, result.settings);
    read_times(top, result.settings);
    read_claims(top, result.faults, result.settings);
    read_level(top, result.settings);
    top.refuse_unknown_keys();
    return result;
}

}  // namespace

settings_result parse_node_settings(std::string_view yaml) {
    try {
        return read_all(YAML::Load(std::string(yaml)));
    } catch (const YAML::Exception& error) {
        return {{}, {{"(line " + std::to_string(error.mark.line + 1) + ")", error.msg}}};
    }
}

settings_result load_node_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return {{}, {{"(file)", "cannot be read"}}};
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return parse_node_settings(text);
}

}  // namespace teaselpitch
