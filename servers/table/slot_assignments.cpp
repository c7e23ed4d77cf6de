#include "servers/table/slot_assignments.h"

#include <algorithm>

namespace teaselpitch {
namespace {

node_identity parse_node(const wire::NodeName& record) {
    return {record.name(), record.incarnation()};
}

void write_node(const node_identity& node, wire::NodeName& record) {
    record.set_name(node.name);
    record.set_incarnation(node.incarnation);
}

// The reason why an assignment is refused; empty when it is accepted.
std::string refusal(const wire::SlotChange& change, const wire::SlotAssignment& next,
                    const slot_assignment* current) {
    if (next.service().empty() || next.slot() >= slots_per_service || next.holder().name().empty()) {
        return "the service, slot or holder is missing or out of range";
    }
    const std::uint64_t epoch = current == nullptr ? 0 : current->epoch;
    if (next.previous_epoch() != epoch) {
        return "previous epoch " + std::to_string(next.previous_epoch()) + " is not the current epoch " +
               std::to_string(epoch);
    }
    if (current == nullptr || change.reset() || next.planned()) {
        return {};
    }
    const node_identity appender = parse_node(change.appender());
    if (appender != parse_node(next.holder())) {
        return "the appender " + appender.name + " is not the new holder";
    }
    if (std::find(current->candidates.begin(), current->candidates.end(), appender) ==
        current->candidates.end()) {
        return "the appender " + appender.name + " is not a candidate of the current assignment";
    }
    return {};
}

}  // namespace

slot_assignment parse_assignment(const wire::SlotAssignment& record) {
    slot_assignment assignment{
        record.service(), record.slot(), record.epoch(), parse_node(record.holder()), {}, record.planned()};
    for (const wire::NodeName& candidate : record.candidates()) {
        assignment.candidates.push_back(parse_node(candidate));
    }
    return assignment;
}

wire::SlotAssignment to_wire(const slot_assignment& assignment, std::uint64_t previous_epoch) {
    wire::SlotAssignment record;
    record.set_service(assignment.service);
    record.set_slot(assignment.slot);
    record.set_previous_epoch(previous_epoch);
    write_node(assignment.holder, *record.mutable_holder());
    for (const node_identity& candidate : assignment.candidates) {
        write_node(candidate, *record.add_candidates());
    }
    record.set_planned(assignment.planned);
    record.set_epoch(assignment.epoch);
    return record;
}

const slot_assignment* slot_assignments::find(std::string_view service, std::uint32_t slot) const {
    const auto found = slots_.find({std::string(service), slot});
    return found == slots_.end() ? nullptr : &found->second;
}

std::vector<slot_assignment> slot_assignments::apply(const wire::SlotChange& change, std::uint64_t offset,
                                                     std::vector<std::string>& refusals) {
    std::vector<slot_assignment> accepted;
    for (const wire::SlotAssignment& next : change.assignments()) {
        std::string reason = refusal(change, next, find(next.service(), next.slot()));
        if (!reason.empty()) {
            refusals.push_back("slot " + next.service() + "/" + std::to_string(next.slot()) + ": " + reason);
            continue;
        }
        slot_assignment assignment = parse_assignment(next);
        assignment.epoch = offset + 1;
        restore(assignment);
        accepted.push_back(std::move(assignment));
    }
    return accepted;
}

void slot_assignments::restore(slot_assignment assignment) {
    key slot{assignment.service, assignment.slot};
    slots_.insert_or_assign(std::move(slot), std::move(assignment));
}

}  // namespace teaselpitch
