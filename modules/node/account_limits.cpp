#include "modules/node/account_limits.h"

#include <limits>
#include <utility>

#include "servers/claims/slot_map.h"

namespace teaselpitch {
namespace {

wire::LimitReport to_wire(const demand_report& report, const node_identity& from) {
    wire::LimitReport message;
    message.set_owner(report.key.owner);
    message.set_service(report.key.service);
    message.set_demand(report.demand);
    message.set_holding(report.held_share);
    message.set_sequence(report.sequence);
    *message.mutable_from() = to_wire(from);
    return message;
}

}  // namespace

account_limits::account_limits(const time_source& clock, node_identity self, table_hook current_table)
    : self_(std::move(self)),
      current_table_(std::move(current_table)),
      limiter_(clock, share_options{}, [this](const limit_key& key) { return limit_of(key); }),
      allocator_(clock, share_options{}, [this](const limit_key& key) { return limit_of(key); }),
      alive_nodes_{self_.name} {}

limit_decision account_limits::admit(std::string_view account, std::string_view service) {
    if (account.empty()) {
        return {.admitted = true};
    }
    const auto routing = current_table_();
    const account_row* row = routing->rows().account(account, service);
    if (row == nullptr) {
        return {.admitted = true};
    }
    // A row that applies to all services limits their total rate, so those services share one key.
    return limiter_.admit(row->account, row->service);
}

void account_limits::on_nodes(std::vector<std::string> alive, std::size_t known) {
    alive_nodes_ = std::move(alive);
    const fleet_size size{static_cast<std::uint32_t>(alive_nodes_.size()), static_cast<std::uint32_t>(known)};
    limiter_.on_fleet_size(size);
    allocator_.on_fleet_size(size);
}

std::vector<outgoing_limit_report> account_limits::on_tick() {
    std::vector<outgoing_limit_report> out;
    for (const demand_report& report : limiter_.on_tick()) {
        const std::string home = select_home_node(report.key, alive_nodes_);
        if (home == self_.name) {
            limiter_.on_grant(allocator_.on_report(self_, report));
        } else if (!home.empty()) {
            out.push_back({home, to_wire(report, self_)});
        }
    }
    allocator_.on_tick();
    return out;
}

wire::LimitGrant account_limits::on_report(const wire::LimitReport& report) {
    const share_grant grant = allocator_.on_report(
        from_wire(report.from()),
        {{report.owner(), report.service()}, report.demand(), report.holding(), report.sequence()});
    wire::LimitGrant message;
    message.set_owner(grant.key.owner);
    message.set_service(grant.key.service);
    message.set_share(grant.share);
    message.set_valid_for_ms(static_cast<std::uint64_t>(grant.valid_for.count()));
    message.set_sequence(grant.sequence);
    return message;
}

void account_limits::on_grant(const wire::LimitGrant& grant) {
    limiter_.on_grant({{grant.owner(), grant.service()},
                       grant.share(),
                       std::chrono::milliseconds{grant.valid_for_ms()},
                       grant.sequence()});
}

double account_limits::limit_of(const limit_key& key) const {
    const account_row* row = current_table_()->rows().account(key.owner, key.service);
    return row == nullptr ? std::numeric_limits<double>::max() : row->requests_per_s;
}

}  // namespace teaselpitch
