#include "modules/node/admin_api.h"

#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "core/event_log.h"
#include "modules/burn/burn_report.h"
#include "servers/table/table_csv.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

constexpr unsigned status_accepted = 202;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_not_allowed = 405;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;
constexpr std::size_t default_explain_limit = 50;
constexpr std::size_t max_explain_limit = 4'096;

admin_response json_response(const json::value& value, unsigned status = 200) {
    return {.status = status, .body = json::serialize(value) + "\n"};
}

admin_response error_response(unsigned status, std::string_view reason) {
    return json_response(json::object{{"error", reason}}, status);
}

std::optional<decision_subject> parse_subject(std::string_view text) {
    for (const decision_subject subject : {decision_subject::target, decision_subject::request,
                                           decision_subject::edit, decision_subject::service}) {
        if (to_string(subject) == text) {
            return subject;
        }
    }
    return std::nullopt;
}

json::object to_json(const decision_record& record) {
    json::array evidence;
    for (const decision_evidence& entry : record.evidence) {
        evidence.push_back(json::object{{"name", entry.name}, {"value", entry.value}});
    }
    const auto when = std::chrono::duration_cast<std::chrono::milliseconds>(record.when.time_since_epoch());
    return {{"sequence", record.sequence},
            {"time_ms", when.count()},
            {"kind", to_string(record.subject)},
            {"id", record.id},
            {"service", record.service},
            {"decision", record.decision},
            {"rule", record.rule},
            {"evidence", std::move(evidence)}};
}

json::object to_json(const member& known) {
    const endpoint admin{known.peer.address, known.admin_port};
    return {{"name", known.identity.name},     {"incarnation", known.identity.incarnation},
            {"zone", known.availability_zone}, {"state", known.running() ? "alive" : "dead"},
            {"draining", known.draining},      {"table_version", known.table_version},
            {"admin", to_string(admin)}};
}

json::array services_to_json(const node_context& context) {
    json::array services;
    const auto routers = context.services.all();
    for (const auto& [name, router] : *routers) {
        json::array targets;
        name_map<registered_target> registered;
        for (registered_target& target : router->targets()) {
            const std::string key = target.identity.name;
            registered.emplace(key, std::move(target));
        }
        for (const target_share& share : router->ejections().shares()) {
            const auto target = registered.find(share.target.name);
            json::object entry{{"name", share.target.name},
                               {"state", to_string(share.state)},
                               {"share", share.share},
                               {"badness", share.outlier_score}};
            if (target != registered.end()) {
                entry["node"] = target->second.node;
                entry["zone"] = target->second.zone;
                entry["slots"] = target->second.slots;
            }
            targets.push_back(std::move(entry));
        }
        json::array floors;
        for (const floor_status& floor : router->ejections().floors()) {
            floors.push_back(json::object{{"zone", floor.rule.zone},
                                          {"registered", floor.registered},
                                          {"in_service", floor.in_service},
                                          {"required", floor.required}});
        }
        services.push_back(
            json::object{{"name", name}, {"targets", std::move(targets)}, {"floors", std::move(floors)}});
    }
    return services;
}

}  // namespace

admin_api::admin_api(node_context& context, control_plane& control, const node_platform& platform,
                     std::function<void()> request_drain)
    : context_(context),
      control_plane_(control),
      platform_(platform),
      request_drain_(std::move(request_drain)) {}

awaitable<admin_response> admin_api::handle(admin_request request) {
    if (platform_.read_target_call) {
        if (const auto call = platform_.read_target_call(request)) {
            co_return handle_target_call(request, *call);
        }
    }
    const bool is_post = request.method == "POST";
    if (request.path == "/v1/announce" || request.path == "/v1/drain") {
        if (!is_post) {
            co_return error_response(status_not_allowed, "this path requires the method POST");
        }
        co_return request.path == "/v1/announce" ? handle_announcement(request) : start_drain(request);
    }
    if (is_post) {
        co_return error_response(status_not_allowed, "this path requires the method GET");
    }
    if (request.path == "/v1/status") {
        co_return show_status();
    }
    if (request.path == "/v1/table") {
        co_return show_table();
    }
    if (request.path == "/v1/explain") {
        co_return show_decisions(request);
    }
    if (request.path == "/v1/burn") {
        co_return show_burn_report();
    }
    if (request.path == "/metrics") {
        co_return show_metrics();
    }
    co_return error_response(status_not_found, "unknown path");
}

admin_response admin_api::handle_target_call(const admin_request& request,
                                             const absl::StatusOr<target_call>& call) {
    const absl::Status accepted = call.ok() ? control_plane_.on_target_call(*call) : call.status();
    if (accepted.ok()) {
        return json_response(json::object{});
    }
    log_event(event_level::warning, "target_call_refused",
              {{"path", request.path},
               {"bytes", request.body.size()},
               {"reason", std::string(accepted.message())}});
    return error_response(absl::IsInvalidArgument(accepted) ? status_bad_request : status_conflict,
                          std::string(accepted.message()));
}

awaitable<admin_response> admin_api::answer_readiness(admin_request request) {
    if (!platform_.is_readiness_request(request)) {
        co_return error_response(status_not_found, "unknown path");
    }
    const bool ready = control_plane_.ready();
    co_return json_response(json::object{{"ready", ready}}, ready ? 200 : status_unavailable);
}

admin_response admin_api::handle_announcement(const admin_request& request) {
    const absl::StatusOr<announcement> message = parse_announcement(request.body);
    if (!message.ok()) {
        return error_response(status_bad_request, std::string(message.status().message()));
    }
    const absl::Status accepted = context_.targets.on_announcement(*message);
    if (!accepted.ok()) {
        return error_response(status_conflict, std::string(accepted.message()));
    }
    return json_response(json::object{{"node", context_.self.name}, {"renew_within_ms", 3000}});
}

admin_response admin_api::start_drain(const admin_request&) {
    request_drain_();
    return json_response(json::object{{"node", context_.self.name}, {"draining", true}}, status_accepted);
}

admin_response admin_api::show_status() const {
    json::array members;
    for (const member& known : control_plane_.fleet().members()) {
        members.push_back(to_json(known));
    }
    json::array guarded;
    for (const auto& target : context_.targets.all()) {
        const load_report report = target->guarded().report();
        guarded.push_back(json::object{{"name", report.target},
                                       {"service", target->guarded().service()},
                                       {"slots", report.slots},
                                       {"running", report.running},
                                       {"queued", report.queued},
                                       {"badness", report.outlier_score},
                                       {"leaving", report.leaving}});
    }
    return json_response(json::object{{"node", context_.self.name},
                                      {"incarnation", context_.self.incarnation},
                                      {"zone", context_.settings.availability_zone},
                                      {"draining", context_.draining.load()},
                                      {"table_version", control_plane_.table_version()},
                                      {"log_available", control_plane_.store_available()},
                                      {"held_slots", control_plane_.claims().held_slots()},
                                      {"members", std::move(members)},
                                      {"guarded", std::move(guarded)},
                                      {"services", services_to_json(context_)}});
}

admin_response admin_api::show_table() const {
    return json_response(json::object{{"version", control_plane_.table_version()},
                                      {"csv", write_table_csv(context_.routing.read()->rows())}});
}

admin_response admin_api::show_decisions(const admin_request& request) const {
    const auto kind = request.query.find("kind");
    const auto subject = kind == request.query.end() ? std::nullopt : parse_subject(kind->second);
    if (!subject) {
        return error_response(status_bad_request, "kind must be one of target, request, edit and service");
    }
    const auto id = request.query.find("id");
    std::size_t limit = default_explain_limit;
    if (const auto text = request.query.find("limit"); text != request.query.end()) {
        const char* end = text->second.data() + text->second.size();
        const auto [parsed, failure] = std::from_chars(text->second.data(), end, limit);
        if (failure != std::errc{} || parsed != end || limit == 0 || limit > max_explain_limit) {
            return error_response(status_bad_request, "limit must be in the range 1 to 4096");
        }
    }
    json::array records;
    for (const decision_record& record :
         context_.decisions.find(*subject, id == request.query.end() ? "" : id->second, limit)) {
        records.push_back(to_json(record));
    }
    return json_response(json::object{{"node", context_.self.name}, {"records", std::move(records)}});
}

admin_response admin_api::show_burn_report() const {
    node_outcome_counts result;
    result.node = context_.self.name;
    const std::vector<std::chrono::minutes> lengths = burn_report_windows();
    result.windows = context_.outcomes.windows(lengths);
    result.minutes = context_.outcomes.minutes();
    const auto routing = context_.routing.read();
    routing->rows().services().for_each([&result](const service_row& row) {
        constexpr double percent = 100.0;
        result.objectives.emplace(row.service,
                                  service_objective{row.objective_pct / percent,
                                                    std::chrono::milliseconds{row.objective_latency_ms}});
    });
    return {.body = write_node_counts_json(result)};
}

admin_response admin_api::show_metrics() const {
    return {.content_type = "text/plain; version=0.0.4", .body = context_.metrics.serialize()};
}

}  // namespace teaselpitch
