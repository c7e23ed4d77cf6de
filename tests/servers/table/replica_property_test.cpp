#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "servers/table/edit_publisher.h"
#include "servers/table/snapshot_codec.h"
#include "servers/table/table_replica.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {
namespace {

using namespace table_tests;

// Log with truncation, and a reference replica that processed every record from the start. Any replica with
// the same as_of must have the state of the reference replica.
class reference_log {
public:
    reference_log() { states_.push_back(state_of(reference_replica_)); }

    std::uint64_t append(std::string payload) {
        const std::uint64_t offset = end();
        reference_replica_.apply(offset, payload);
        states_.push_back(state_of(reference_replica_));
        records_.push_back(std::move(payload));
        return offset;
    }

    void truncate(std::uint64_t records) { first_offset_ = std::min(end(), first_offset_ + records); }

    [[nodiscard]] std::uint64_t first_offset() const { return first_offset_; }
    [[nodiscard]] std::uint64_t end() const { return records_.size(); }
    [[nodiscard]] const std::string& record(std::uint64_t offset) const { return records_[offset]; }
    [[nodiscard]] const std::string& state(std::uint64_t as_of) const { return states_[as_of]; }
    [[nodiscard]] const table_replica& reference_replica() const { return reference_replica_; }

    static std::string state_of(const table_replica& replica) { return replica.make_snapshot(); }

private:
    table_replica reference_replica_;
    std::vector<std::string> records_;
    std::vector<std::string> states_;
    std::uint64_t first_offset_ = 0;
};

struct operation {
    int type = 0;
    std::size_t actor = 0;
    std::uint32_t argument = 0;
};

std::ostream& operator<<(std::ostream& out, const operation& value) {
    return out << "{" << value.type << ", " << value.actor << ", " << value.argument << "}";
}

struct publication {
    edit_publisher publisher;
    std::size_t replica;
};

class replica_fleet {
public:
    static constexpr std::size_t replicas = 4;
    static constexpr int operation_types = 12;

    void run(const operation& op) {
        switch (op.type) {
            case 0:
            case 1:
                return read(op.actor, 1 + op.argument % 5);
            case 2:
                return start_publication(op);
            case 3:
            case 4:
                return step_publication(op);
            case 5:
                return change_slot(op);
            case 6:
                log_.append(encode_snapshot_record(nodes_[op.actor].make_snapshot()));
                return;
            case 7:
                nodes_[op.actor].adopt_snapshot(nodes_[op.argument % replicas].make_snapshot());
                return;
            case 8:
                return copy_records(op.actor, op.argument % replicas);
            case 9:
                return truncate(op.argument % 6);
            case 10:
                return restart(op.actor);
            default:
                return append_garbage_or_duplicate(op);
        }
    }

    // Checks that every replica has the state that its prefix of the log defines and that no version
    // decreased.
    void check() {
        for (std::size_t i = 0; i < replicas; ++i) {
            RC_ASSERT(reference_log::state_of(nodes_[i]) == log_.state(nodes_[i].as_of()));
            RC_ASSERT(nodes_[i].version() >= versions_[i]);
            RC_ASSERT(nodes_[i].as_of() <= nodes_[i].next_offset());
            versions_[i] = nodes_[i].version();
        }
    }

    // Appends delayed records, publishes a snapshot, lets every replica read to the end of the log and checks
    // it.
    void read_all_and_check() {
        for (std::string& record : delayed_records_) {
            log_.append(std::move(record));
        }
        read_to_end(0);
        log_.append(encode_snapshot_record(nodes_[0].make_snapshot()));
        for (std::size_t i = 0; i < replicas; ++i) {
            read_to_end(i);
            check();
            RC_ASSERT(nodes_[i].complete());
            RC_ASSERT(nodes_[i].as_of() == log_.end());
        }
        for (const auto& [publisher, replica] : publications_) {
            check_verdict(publisher);
        }
    }

private:
    void read(std::size_t actor, std::uint64_t count) {
        table_replica& node = nodes_[actor];
        node.skip_truncated(log_.first_offset());
        for (; count > 0 && node.next_offset() < log_.end(); --count) {
            const std::uint64_t offset = node.next_offset();
            if (node.apply(offset, log_.record(offset)).outcome == record_outcome::adopted) {
                node.skip_truncated(log_.first_offset());
            }
        }
    }

    void read_to_end(std::size_t actor) {
        // A replica reads the log again at most once for each snapshot that it adopts.
        read(actor, (log_.end() + 1) * (log_.end() + 1));
    }

    static std::vector<row_change> changes_from_bits(std::uint32_t bits) {
        const std::string service = "s" + std::to_string(bits % 2);
        std::vector<row_change> changes{set_service(service, (bits >> 1) % 3)};
        if ((bits >> 3) % 3 == 0) {
            changes.push_back(set_route("*", "/r", service));
        } else if ((bits >> 3) % 3 == 1) {
            changes = {set_account("a" + std::to_string((bits >> 5) % 2), service, bits % 7)};
        }
        changes[0].remove = (bits >> 6) % 5 == 0;
        return changes;
    }

    void start_publication(const operation& op) {
        const auto base = nodes_[op.actor].current();
        const std::string id = "edit-" + std::to_string(publications_.size());
        publications_.push_back(
            {edit_publisher(make_edit(id, base->version(), changes_from_bits(op.argument)), base), op.actor});
    }

    void step_publication(const operation& op) {
        if (publications_.empty()) {
            return;
        }
        auto& [publisher, actor] = publications_[op.argument % publications_.size()];
        if (publisher.next_step() == edit_publisher::step::append) {
            publisher.on_append_outcome(append(publisher.record(), op.argument / 7 % 6));
        } else if (op.argument % 11 == 0) {
            publisher.give_up("timeout");
        } else {
            read(actor, 1 + op.argument % 5);
            publisher.on_records_read(nodes_[actor],
                                      nodes_[actor].complete() && nodes_[actor].next_offset() == log_.end());
        }
    }

    // Appends with an acknowledgement, a refusal, or an unknown outcome: stored now, twice, later or never.
    append_outcome append(const std::string& record, std::uint32_t mode) {
        switch (mode) {
            case 0:
                return {append_state::refused, 0, "refused"};
            case 1:
                log_.append(record);
                return {};
            case 2:
                log_.append(record);
                log_.append(record);
                return {};
            case 3:
                delayed_records_.push_back(record);
                return {};
            case 4:
                return {};
            default:
                return {append_state::stored, log_.append(record), ""};
        }
    }

    void change_slot(const operation& op) {
        const slot_assignment* current = nodes_[op.actor].slots().find({"limits", 3});
        const std::string name = "n" + std::to_string(op.actor);
        const std::string candidate = "n" + std::to_string((op.actor + op.argument) % replicas);
        wire::SlotChange change =
            make_slot_change(current == nullptr ? 0 : current->epoch, name, candidate, name);
        change.set_reset(op.argument % 5 == 0);
        change.mutable_assignments(0)->set_planned(op.argument % 7 == 0);
        change.mutable_assignments(0)->set_slot(3);
        append(encode_record(change), op.argument % 6);
    }

    void copy_records(std::size_t to, std::size_t from) {
        if (!nodes_[to].complete()) {
            return;
        }
        const auto records = nodes_[from].records_since(nodes_[to].next_offset());
        for (const wire::StoredRecord& record : records.value_or(std::vector<wire::StoredRecord>())) {
            nodes_[to].apply(record.offset(), record.payload());
        }
    }

    // The first replica models a node that reads every record before its retention ends. Without such a node
    // the state would be lost.
    void truncate(std::uint64_t records) {
        read_to_end(0);
        log_.truncate(records);
    }

    void restart(std::size_t actor) {
        if (actor == 0) {
            return;
        }
        nodes_[actor] = table_replica();
        versions_[actor] = 0;
        // The operator's process ends with its replica, while its edits may still be delayed.
        for (auto& [publisher, replica] : publications_) {
            if (replica == actor) {
                publisher.give_up("restart");
            }
        }
    }

    void append_garbage_or_duplicate(const operation& op) {
        if (op.argument % 4 == 0) {
            log_.append("\xff garbage");
        } else if (op.argument % 4 == 1 && !delayed_records_.empty()) {
            log_.append(delayed_records_.front());
            delayed_records_.pop_front();
        } else if (log_.end() > 0) {
            log_.append(log_.record(op.argument % log_.end()));
        }
    }

    void check_verdict(const edit_publisher& publisher) const {
        if (publisher.next_step() != edit_publisher::step::done) {
            return;
        }
        const edit_result* reference_result = log_.reference_replica().find_edit(publisher.edit_id());
        const bool accepted = reference_result != nullptr && reference_result->accepted;
        if (const auto* verdict = std::get_if<publish_accepted>(&publisher.result())) {
            RC_ASSERT(accepted);
            RC_ASSERT(verdict->version == reference_result->version);
        } else if (std::holds_alternative<publish_rejected>(publisher.result())) {
            RC_ASSERT(!accepted);
        }
    }

    reference_log log_;
    std::vector<table_replica> nodes_ = std::vector<table_replica>(replicas);
    std::vector<std::uint64_t> versions_ = std::vector<std::uint64_t>(replicas);
    std::vector<publication> publications_;
    std::deque<std::string> delayed_records_;
};

rc::Gen<operation> random_operation() {
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, replica_fleet::operation_types),
                                       rc::gen::inRange<std::size_t>(0, replica_fleet::replicas),
                                       rc::gen::inRange<std::uint32_t>(0, 1U << 16)),
                        [](const std::tuple<int, std::size_t, std::uint32_t>& values) {
                            return operation{std::get<0>(values), std::get<1>(values), std::get<2>(values)};
                        });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_property)

// Guards against replicas with different state, decreasing versions and wrong verdicts, under truncation,
// duplicate and delayed appends, concurrent edits, lost acknowledgements, restarts, and snapshots from the
// log and from peers.
BOOST_AUTO_TEST_CASE(replicas_agree_under_random_operations) {
    BOOST_TEST(rc::check([] {
        const auto operations =
            *rc::gen::scale(3.0, rc::gen::container<std::vector<operation>>(random_operation()));
        replica_fleet nodes;
        for (const operation& op : operations) {
            nodes.run(op);
            nodes.check();
        }
        nodes.read_all_and_check();
    }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
