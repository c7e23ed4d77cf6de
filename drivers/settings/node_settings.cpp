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
/// A node takes 14 MB when it is idle and may hold 512 KB of each body, so less than 48 MB is a mistake.
constexpr integer_range memory_mb_range{0, 1'000'000};
constexpr std::uint64_t min_memory_mb = 48;
/// Below 64, the descriptors that a node needs for itself leave none for callers.
constexpr integer_range max_fds_range{0, 10'000'000};
constexpr std::size_t min_max_fds = 64;
/// The longest control call has 4 MB.
constexpr std::uint64_t min_peer_memory_mb = 8;
constexpr integer_range peer_connections_range{0, 1'000'000};
constexpr integer_range peer_memory_mb_range{0, 1'000'000};
constexpr integer_range admin_connections_range{0, 10'000};
constexpr integer_range admin_body_bytes_range{4 * 1024, 8 * 1024 * 1024};
constexpr integer_range short_duration_range_ms{1, 60'000};
constexpr integer_range long_duration_range_ms{1, 24 * 3'600'000};

void read_identity(settings_section& root, node_settings& out) {
    settings_section node = root.section("node");
    out.name = node.required_text("name");
    out.availability_zone = node.required_text("availability_zone");
    out.region = node.text_or("region", "");
    out.threads = static_cast<std::size_t>(node.integer_or("threads", 2, {1, max_threads}));
    out.tick_factor = static_cast<unsigned>(node.integer_or("tick_factor", 1, {1, 20}));
    node.reject_unknown_keys();
}

void read_listeners(settings_section& root, node_settings& out) {
    settings_section listen = root.section("listen");
    out.caller_listen = listen.required_endpoint("caller");
    out.admin_listen = listen.required_endpoint("admin");
    out.peer_listen = listen.required_endpoint("peer");
    listen.reject_unknown_keys();

    settings_section advertise = root.section("advertise");
    out.peer_advertise = advertise.optional_endpoint("peer").value_or(out.peer_listen);
    out.admin_advertise = advertise.optional_endpoint("admin").value_or(out.admin_listen);
    advertise.reject_unknown_keys();

    const std::string bind = root.text_or("bind_address", "");
    if (!bind.empty()) {
        out.bind_address = bind;
    }
}

void read_store(settings_section& root, node_settings& out) {
    settings_section store = root.section("store");
    store_settings values;
    values.address = store.required_endpoint("address");
    values.readiness_listen = store.required_endpoint("readiness_listen");
    values.heartbeat = store.milliseconds_or("heartbeat_ms", 1500ms, short_duration_range_ms);
    values.drain_limit = store.milliseconds_or("drain_limit_ms", 6s, long_duration_range_ms);
    if (store.has("drain_limit_s")) {
        // The platform's bounds are seconds and may have a fraction.
        const double seconds = store.number_or("drain_limit_s", 6.0, 0.1, 86'400.0);
        values.drain_limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
    }
    store.reject_unknown_keys();
    out.store = values;
    out.claims_enabled = false;
}

void read_local_target(settings_section& root, node_settings& out) {
    if (!root.has("beside")) {
        return;
    }
    settings_section local_target = root.section("beside");
    local_target_settings values;
    values.service = local_target.required_text("service");
    values.address = local_target.required_endpoint("address");
    local_target.reject_unknown_keys();
    out.local_target = values;
}

void read_routing(settings_section& root, node_settings& out) {
    constexpr std::int64_t max_buffer_bytes = std::int64_t{64} << 20;
    settings_section routing = root.section("routing");
    out.replay_bytes =
        static_cast<std::size_t>(routing.integer_or("replay_bytes", 64 * 1024, {0, max_buffer_bytes}));
    out.held_answer_bytes =
        static_cast<std::size_t>(routing.integer_or("held_answer_bytes", 64 * 1024, {0, max_buffer_bytes}));
    out.free_slot_hops = static_cast<std::uint32_t>(routing.integer_or("free_slot_hops", 2, {0, 16}));
    out.cost_aware = routing.boolean_or("cost_aware", false);
    out.caller_patience = routing.milliseconds_or("caller_patience_ms", 3s, {100, 3'600'000});
    out.caller_min_bytes_per_s =
        static_cast<std::uint64_t>(routing.integer_or("caller_min_bytes_per_s", 64'000, {1, 1'000'000'000}));
    out.kept_slot_share = routing.number_or("kept_slot_share", 0.25, 0.0, 0.9);
    out.retry_floor_per_s = routing.number_or("retry_floor_per_s", 1.0, 0.0, 1'000.0);
    if (routing.has("fleet_retries")) {
        settings_section retry_section = routing.section("fleet_retries");
        fleet_retry_settings values;
        values.ratio = retry_section.number_or("ratio", 0.0, 0.0, 1.0);
        values.slack = retry_section.number_or("slack", 0.0, 0.0, 1'000'000.0);
        // A fraction is dropped: a shorter window counts fewer requests and permits fewer retries.
        values.window = std::chrono::seconds(
            static_cast<std::int64_t>(retry_section.number_or("window_s", 10.0, 1.0, 3'600.0)));
        retry_section.reject_unknown_keys();
        out.fleet_retries = values;
    }
    out.target_idle_timeout = routing.milliseconds_or("target_idle_ms", 30s, long_duration_range_ms);
    out.non_idempotent_idle_timeout =
        routing.milliseconds_or("non_idempotent_idle_ms", 30s, long_duration_range_ms);
    out.ping_idle = routing.milliseconds_or("ping_idle_ms", 100ms, short_duration_range_ms);
    out.ping_deadline = routing.milliseconds_or("ping_deadline_ms", 300ms, short_duration_range_ms);
    routing.reject_unknown_keys();
}

void read_log(settings_section& root, node_settings& out) {
    settings_section log = root.section("log");
    out.log_address = log.required_endpoint("address");
    out.log_stream = log.text_or("stream", "teaselpitch");
    log.reject_unknown_keys();
    out.seeds = root.endpoints("seeds");
}

void read_limits(settings_section& root, std::vector<settings_error>& errors, node_settings& out) {
    settings_section limits = root.section("limits");
    out.max_header_bytes =
        static_cast<std::size_t>(limits.integer_or("header_bytes", 16 * 1024, header_bytes_range));
    out.max_body_bytes =
        static_cast<std::uint64_t>(limits.integer_or("body_bytes", std::int64_t{1} << 30, body_bytes_range));
    out.memory_mb = static_cast<std::uint64_t>(limits.integer_or("memory_mb", 0, memory_mb_range));
    out.max_fds = static_cast<std::size_t>(limits.integer_or("max_fds", 0, max_fds_range));
    out.admin_connections =
        static_cast<std::size_t>(limits.integer_or("admin_connections", 0, admin_connections_range));
    out.peer_connections =
        static_cast<std::size_t>(limits.integer_or("peer_connections", 0, peer_connections_range));
    out.peer_memory_mb =
        static_cast<std::uint64_t>(limits.integer_or("peer_memory_mb", 0, peer_memory_mb_range));
    out.admin_body_bytes =
        static_cast<std::size_t>(limits.integer_or("admin_body_bytes", 64 * 1024, admin_body_bytes_range));
    limits.reject_unknown_keys();
    if (out.memory_mb > 0 && out.memory_mb < min_memory_mb) {
        errors.push_back(
            {"limits.memory_mb", "must be 0 (no bound) or at least " + std::to_string(min_memory_mb)});
    }
    if (out.peer_memory_mb > 0 && out.peer_memory_mb < min_peer_memory_mb) {
        errors.push_back({"limits.peer_memory_mb",
                          "must be 0 (derived) or at least " + std::to_string(min_peer_memory_mb)});
    }
    if (out.max_fds > 0 && out.max_fds < min_max_fds) {
        errors.push_back(
            {"limits.max_fds", "must be 0 (no bound) or at least " + std::to_string(min_max_fds)});
    }
}

void read_timeouts(settings_section& root, node_settings& out) {
    settings_section times = root.section("times");
    out.default_timeout = times.milliseconds_or("default_timeout_ms", 10s, long_duration_range_ms);
    out.drain_timeout = times.milliseconds_or("drain_timeout_ms", 60s, long_duration_range_ms);
    out.warm_up = times.milliseconds_or("warm_up_ms", 10s, {0, 600'000});
    times.reject_unknown_keys();
}

void read_claims(settings_section& root, std::vector<settings_error>& errors, node_settings& out) {
    settings_section claims = root.section("claims");
    out.claim_retention = claims.milliseconds_or("retention_ms", 10min, long_duration_range_ms);
    out.claim_lease = claims.milliseconds_or("lease_ms", 5s, short_duration_range_ms);
    out.claim_margin = claims.milliseconds_or("margin_ms", 2s, short_duration_range_ms);
    out.max_claims = static_cast<std::size_t>(claims.integer_or("max_keys", 200'000, {1, 10'000'000}));
    claims.reject_unknown_keys();
    if (out.claim_retention < 2 * (out.claim_lease + out.claim_margin)) {
        errors.push_back({"claims.retention_ms", "must be at least twice lease_ms + margin_ms"});
    }
}

// The platform's template leaves the bounds blank that a deployment does not have.
void read_accounts(settings_section& root, node_settings& out) {
    settings_section accounts = root.section("accounts");
    const std::string fail_closed =
        accounts.choice_or("fail_closed", "false", {"false", "true", "False", "True", ""});
    out.accounts_fail_closed = fail_closed == "true" || fail_closed == "True";
    out.accounts_revoke_after = accounts.text_or("revoke_ms", "").empty()
                                    ? std::chrono::milliseconds(5s)
                                    : accounts.milliseconds_or("revoke_ms", 5s, long_duration_range_ms);
    accounts.reject_unknown_keys();
}

void read_log_level(settings_section& root, node_settings& out) {
    static const std::map<std::string, event_level, std::less<>> levels{{"debug", event_level::debug},
                                                                        {"info", event_level::info},
                                                                        {"warning", event_level::warning},
                                                                        {"error", event_level::error}};
    out.log_level = levels.at(root.choice_or("log_level", "info", {"debug", "info", "warning", "error"}));
}

settings_result parse_settings_document(const YAML::Node& document) {
    settings_result result;
    settings_section root(document, "", result.errors);
    read_identity(root, result.settings);
    read_listeners(root, result.settings);
    if (root.has("store")) {
        read_store(root, result.settings);
        result.settings.seeds = root.endpoints("seeds");
    } else {
        read_log(root, result.settings);
    }
    read_local_target(root, result.settings);
    read_routing(root, result.settings);
    read_limits(root, result.errors, result.settings);
    read_timeouts(root, result.settings);
    read_claims(root, result.errors, result.settings);
    read_accounts(root, result.settings);
    read_log_level(root, result.settings);
    root.reject_unknown_keys();
    return result;
}

}  // namespace

settings_result parse_node_settings(std::string_view yaml) {
    try {
        return parse_settings_document(YAML::Load(std::string(yaml)));
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
