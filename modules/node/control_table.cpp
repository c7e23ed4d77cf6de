// The part of the control plane that concerns the log, the table and the slots.

#include <algorithm>
#include <set>
#include <utility>

#include "core/event_log.h"
#include "modules/node/control_plane.h"
#include "servers/table/snapshot_codec.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds table_timeout{2'000};

}  // namespace

void control_plane::on_table() {
    auto routing =
        std::make_shared<const routing_table>(replica_.current(), context_.settings.availability_zone);
    context_.routing.update(routing);
    fleet_.set_table_version(replica_.version());
    context_.metrics.set_table_version(replica_.version());
    std::set<std::string> services;
    replica_.current()->services().for_each(
        [&services](const service_row& row) { services.insert(row.service); });
    for (const std::string& service : services) {
        context_.services.router(service).on_rules(routing->rules_of(service));
    }
    context_.targets.on_rules();
    log_event(event_level::info, "table_in_force",
              {{"version", replica_.version()},
               {"services", services.size()},
               {"routes", replica_.current()->routes().size()}});
}

void control_plane::on_record(const wire::StoredRecord& record, const apply_result& result) {
    if (!result.new_slots.empty()) {
        claims_.on_assignments(replica_.slots(), result.new_slots);
    }
    if (result.edit) {
        record_edit(record, *result.edit);
    }
}

void control_plane::record_edit(const wire::StoredRecord& record, const edit_result& edit) {
    decision_record entry;
    entry.subject = decision_subject::edit;
    entry.id = edit.edit_id;
    entry.decision = edit.accepted ? "accepted" : "rejected";
    entry.rule = edit.accepted ? "the base is the current version" : edit.reason;
    entry.evidence = {{"offset", std::to_string(record.offset())},
                      {"version", std::to_string(edit.version)},
                      {"author", edit.author}};
    context_.decisions.add(std::move(entry));
}

awaitable<void> control_plane::append(std::string record) {
    const append_outcome outcome = co_await log_.append(std::move(record));
    if (outcome.state != append_state::stored) {
        // The policy proposes the change again when no newer assignment is read.
        log_event(event_level::warning, "append_not_confirmed",
                  {{"stream", context_.settings.log_stream},
                   {"unknown", outcome.state == append_state::unknown},
                   {"reason", outcome.detail}});
    }
}

awaitable<void> control_plane::fetch_table() {
    for (const auto& [name, address] : *context_.nodes.read()) {
        if (name != context_.self.name) {
            spawn(fetch_table_from(address.peer), "fetch_table_from");
        }
    }
    co_return;
}

awaitable<void> control_plane::fetch_table_from(endpoint peer) {
    std::string known = std::to_string(replica_.as_of());
    const auto answer = co_await peers_.call(peer, table_method, std::move(known), table_timeout);
    if (!answer.ok() || answer->empty()) {
        co_return;
    }
    const apply_result adopted = replica_.adopt_snapshot(*answer);
    if (!adopted.new_slots.empty()) {
        claims_.on_assignments(replica_.slots(), adopted.new_slots);
    }
    if (adopted.table_changed) {
        on_table();
    }
}

void control_plane::publish_snapshot() {
    const auto nodes = context_.nodes.read();
    const bool is_first = std::none_of(
        nodes->begin(), nodes->end(), [this](const auto& entry) { return entry.first < context_.self.name; });
    // One node is enough; two with different views only append one snapshot too many.
    if (!is_first || !replica_.complete() || replica_.as_of() == published_as_of_) {
        return;
    }
    // The snapshot's own record advances the log by one, which is no reason for another snapshot.
    published_as_of_ = replica_.as_of() + 1;
    spawn(append(encode_snapshot_record(replica_.make_snapshot())), "append_snapshot");
}

absl::StatusOr<std::string> control_plane::answer_table(std::string_view payload) const {
    // The question is how far the asker has read; an empty answer says that this node knows no more.
    if (std::string(payload) == std::to_string(replica_.as_of())) {
        return std::string();
    }
    return replica_.make_snapshot();
}

}  // namespace teaselpitch
