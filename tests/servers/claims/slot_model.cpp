#include "tests/servers/claims/slot_model.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr std::size_t node_count = 5;
constexpr std::array<nanoseconds, 12> time_steps{20ms, 50ms,   100ms, 200ms, 500ms, 1s,
                                                 1s,   1900ms, 3s,    5s,    7s,    20s};
constexpr std::array<double, 3> clock_rate_choices{0.99, 1.0, 1.01};

slot_options make_variant_options(const protocol_variant& variant) {
    slot_settings settings = variant.settings;
    settings.max_clock_rate_error = variant.extends_waits ? settings.max_clock_rate_error : 0;
    settings.max_run_time = variant.includes_max_run_time ? settings.max_run_time : 0ms;
    slot_options options = make_slot_options(settings);
    options.takeover_wait = variant.waits_after_takeover ? options.takeover_wait : 0ns;
    return options;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const event& value) {
    return out << static_cast<int>(value.kind) << "(" << value.a << "," << value.b << ")";
}

slot_model::slot_model(protocol_variant variant, std::uint32_t clock_rates)
    : variant_(std::move(variant)), options_(make_variant_options(variant_)), nodes_(node_count) {
    for (std::size_t i = 0; i < node_count; ++i) {
        nodes_[i].self.name = "n" + std::to_string(i);
        nodes_[i].rate = clock_rate_choices[clock_rates % clock_rate_choices.size()];
        clock_rates /= clock_rate_choices.size();
        nodes_[i].clock = std::make_unique<manual_time_source>();
        start_node(nodes_[i], 1);
    }
    append(nodes_[0], false, 0);
    commit_append(0, 1);
    for (model_node& reader : nodes_) {
        read_log(reader, reader.clock->now(), log_.size());
    }
}

void slot_model::start_node(model_node& host, std::uint64_t incarnation) {
    host.self.incarnation = incarnation;
    slot_options holder_options = options_;
    if (!variant_.checks_freshness) {
        holder_options.lease = 24h;
    }
    const time_source& clock = *host.clock;
    host.holder.reset();  // Destroyed first because it references the ledger.
    host.ledger = std::make_unique<claim_ledger>(
        clock, claim_options{.retention = options_.retention, .max_claims = 8});
    host.holder = std::make_unique<slot_holder>(clock, holder_options, host.self, test_slot, *host.ledger);
    host.promises = std::make_unique<lease_promises>(clock, options_, host.self);
    host.requests = std::make_unique<promise_collector>(clock, options_, host.self);
    host.map = slot_map();
    host.position = 0;
}

slot_model::model_node* slot_model::find(const node_identity& self) {
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const model_node& host) { return host.self == self; });
    return found == nodes_.end() ? nullptr : &*found;
}

void slot_model::run(const event& next) {
    switch (next.kind) {
        case event_kind::pass_time:
            return pass_time(next.a);
        case event_kind::read_log:
            if (node_at(next.a).reaches_log) {
                read_log(node_at(next.a), node_at(next.a).clock->now(), log_.size());
            }
            return;
        case event_kind::issue_read:
            return issue_read(node_at(next.a));
        case event_kind::deliver_read:
            return deliver_read(next.a);
        case event_kind::toggle_log:
            node_at(next.a).reaches_log = !node_at(next.a).reaches_log;
            return;
        case event_kind::take_over:
            return take_over(node_at(next.a), next.b);
        case event_kind::renew_assignment:
            return renew_assignment(node_at(next.a), next.b);
        case event_kind::hand_over:
            return hand_over(node_at(next.a), next.b);
        case event_kind::deliver_hand_over:
            return deliver_hand_over(next.a, next.b);
        case event_kind::commit_append:
            return commit_append(next.a, next.b);
        case event_kind::exchange_promises:
            return exchange_promises(node_at(next.a));
        case event_kind::send_promise_requests:
            return send_promise_requests(node_at(next.a));
        case event_kind::deliver_request:
            return deliver_request(next.a);
        case event_kind::deliver_reply:
            return deliver_reply(next.a);
        case event_kind::send:
            deliver_to_holder(make_send(next.a), node_at(next.b));
            return;
        case event_kind::send_delayed:
            delayed_sends_.push_back(make_send(next.a));
            return;
        case event_kind::deliver_send:
            return deliver_send(next.a, node_at(next.b));
        case event_kind::send_and_write:
            return send_and_write(next.a, node_at(next.b), next.b / 8);
        case event_kind::check_permit:
            return check_permit(next.a);
        case event_kind::final_check:
            return final_check(next.a);
        case event_kind::write:
            return write(next.a);
        case event_kind::end_run:
            return end_run(next.a, next.b);
        case event_kind::renounce:
            return node_at(next.a).promises->renounce();
        case event_kind::reset:
            return reset(node_at(next.a), next.b);
        case event_kind::crash:
            return crash(node_at(next.a));
        case event_kind::drop_message:
            return drop_message(next.a, next.b);
        case event_kind::count:
            return;
    }
}

void slot_model::pass_time(std::uint32_t choice) {
    const nanoseconds step = time_steps[choice % time_steps.size()];
    elapsed_ += step;
    for (model_node& host : nodes_) {
        host.clock->advance(
            nanoseconds(static_cast<std::int64_t>(static_cast<double>(step.count()) * host.rate)));
        host.ledger->on_tick();
    }
    for (std::size_t i = 0; i < runs_.size();) {
        const bool exceeded_max_run_time =
            runs_[i].phase == run_phase::executing &&
            elapsed_ - executions_[runs_[i].execution].start >= variant_.settings.max_run_time;
        if (!exceeded_max_run_time) {
            ++i;
            continue;
        }
        execution& ended_execution = executions_[runs_[i].execution];
        ended_execution.end = ended_execution.start + variant_.settings.max_run_time;
        finish_run(i, 1);
    }
}

void slot_model::read_log(model_node& reader, steady_time issued_at, std::size_t end) {
    for (; reader.position < end; ++reader.position) {
        const log_record& record = log_[reader.position];
        const std::uint64_t offset = reader.position + 1;
        if (!reader.map.apply(to_wire(record.assignment), record.appender, record.reset, offset).ok()) {
            continue;
        }
        const slot_assignment& current = *reader.map.find(test_slot);
        reader.holder->on_assignment(current);
        reader.promises->on_assignment(current);
        reader.requests->on_assignment(current);
    }
    reader.holder->on_fresh_log_read(issued_at);
}

void slot_model::issue_read(model_node& reader) {
    if (reader.reaches_log) {
        reads_.push_back({reader.self, reader.clock->now(), log_.size()});
    }
}

void slot_model::deliver_read(std::uint32_t index) {
    if (reads_.empty()) {
        return;
    }
    const pending_read read = remove_at(reads_, index % reads_.size());
    if (model_node* reader = find(read.reader); reader != nullptr) {
        read_log(*reader, read.issued_at, read.end);
    }
}

void slot_model::append(model_node& appender, bool planned, std::uint32_t choice) {
    const slot_assignment* current = appender.map.find(test_slot);
    slot_assignment next{.slot = test_slot, .holder = appender.self, .planned = planned};
    next.previous_epoch = current == nullptr ? 0 : current->epoch;
    // Any two of the other nodes, selected by the choice.
    const std::size_t own = static_cast<std::size_t>(&appender - nodes_.data());
    const std::size_t first = 1 + choice % (node_count - 1);
    const std::size_t second = 1 + (choice / 4) % (node_count - 1);
    next.candidates.push_back(nodes_[(own + first) % node_count].self);
    next.candidates.push_back(
        nodes_[(own + (second == first ? first % (node_count - 1) + 1 : second)) % node_count].self);
    appends_.push_back({.assignment = next, .appender = appender.self});
}

void slot_model::take_over(model_node& candidate, std::uint32_t choice) {
    const slot_assignment* current = candidate.map.find(test_slot);
    if (current == nullptr || std::find(current->candidates.begin(), current->candidates.end(),
                                        candidate.self) == current->candidates.end()) {
        return;
    }
    lease_promises unregistered(*candidate.clock, options_, candidate.self);
    const bool allowed = variant_.tracks_unresolved_appends
                             ? candidate.promises->begin_append(test_slot, current->epoch)
                             : unregistered.begin_append(test_slot, current->epoch);
    if (allowed && candidate.reaches_log) {
        append(candidate, false, choice);
    } else if (allowed && variant_.tracks_unresolved_appends) {
        candidate.promises->on_append_not_sent(test_slot, current->epoch);
    }
}

void slot_model::renew_assignment(model_node& holder, std::uint32_t choice) {
    const slot_assignment* current = holder.map.find(test_slot);
    if (current == nullptr || current->holder != holder.self) {
        return;
    }
    if (variant_.reports_renewals) {
        holder.holder->begin_own_append();
    }
    if (holder.reaches_log) {
        append(holder, false, choice);
    } else {
        holder.holder->on_own_append_not_sent(current->epoch);
    }
}

void slot_model::hand_over(model_node& holder, std::uint32_t choice) {
    model_node& successor = nodes_[choice % node_count];
    holder.holder->begin_hand_over();
    // Without an export, the holder is still waiting for its running requests.
    if (&successor == &holder || choice / 8 % 2 == 1) {
        return;
    }
    std::optional<wire::SlotClaims> exported = holder.holder->export_claims();
    if (!exported) {
        return;
    }
    wire::SlotClaims& claims = *exported;
    if (!variant_.transfers_claims) {
        claims.clear_claims();
    }
    if (!variant_.transfers_first_sends_window) {
        claims.set_first_sends_only_ms(0);
    }
    hand_overs_.push_back({successor.self, claims});
}

void slot_model::deliver_hand_over(std::uint32_t index, std::uint32_t choice) {
    if (hand_overs_.empty()) {
        return;
    }
    const sent_claims sent = remove_at(hand_overs_, index % hand_overs_.size());
    model_node* successor = find(sent.to);
    if (successor == nullptr || !successor->reaches_log) {
        return;
    }
    const slot_assignment* current = successor->map.find(test_slot);
    if (current != nullptr && current->epoch == sent.claims.epoch() &&
        successor->holder->import_claims(sent.claims).ok()) {
        append(*successor, true, choice);
    }
}

void slot_model::commit_append(std::uint32_t index, std::uint32_t choice) {
    if (appends_.empty()) {
        return;
    }
    const std::size_t chosen = index % appends_.size();
    log_.push_back(appends_[chosen]);
    if (choice % 4 != 0) {  // Otherwise the append is retried and takes effect a second time later.
        remove_at(appends_, chosen);
    }
}

void slot_model::exchange_promises(model_node& holder) {
    for (const wire::PromiseRequest& request : holder.requests->make_requests()) {
        model_node* candidate = find(from_wire(request.candidate()));
        if (candidate != nullptr) {
            on_reply(holder, candidate->promises->on_request(request));
        }
    }
}

void slot_model::on_reply(model_node& holder, const wire::PromiseReply& reply) {
    holder.requests->on_reply(reply);
    if (const auto since = holder.requests->oldest_promise_time(); since) {
        holder.holder->on_candidates_promised(holder.requests->epoch(), *since);
    }
}

void slot_model::send_promise_requests(model_node& holder) {
    for (wire::PromiseRequest& request : holder.requests->make_requests()) {
        promise_requests_.push_back(std::move(request));
    }
}

void slot_model::deliver_request(std::uint32_t index) {
    if (promise_requests_.empty()) {
        return;
    }
    const wire::PromiseRequest request = remove_at(promise_requests_, index % promise_requests_.size());
    // Delivered by node name, so that a later incarnation receives and refuses it.
    for (model_node& candidate : nodes_) {
        if (candidate.self.name == request.candidate().name()) {
            promise_replies_.emplace_back(from_wire(request.holder()),
                                          candidate.promises->on_request(request));
        }
    }
}

void slot_model::deliver_reply(std::uint32_t index) {
    if (promise_replies_.empty()) {
        return;
    }
    const auto [to, reply] = remove_at(promise_replies_, index % promise_replies_.size());
    if (model_node* holder = find(to); holder != nullptr) {
        on_reply(*holder, reply);
    }
}

void slot_model::reset(model_node& holder, std::uint32_t choice) {
    slot_map current_map;
    for (std::size_t i = 0; i < log_.size(); ++i) {
        static_cast<void>(
            current_map.apply(to_wire(log_[i].assignment), log_[i].appender, log_[i].reset, i + 1));
    }
    // An operator may reset a slot only when its holder and all its candidates have stopped.
    const slot_assignment& current = *current_map.find(test_slot);
    if (find(current.holder) != nullptr ||
        std::any_of(current.candidates.begin(), current.candidates.end(),
                    [this](const node_identity& candidate) { return find(candidate) != nullptr; })) {
        return;
    }
    append(holder, false, choice);
    appends_.back().assignment.previous_epoch = current.epoch;
    appends_.back().appender = {"operator", 1};
    appends_.back().reset = true;
}

void slot_model::crash(model_node& host) {
    for (std::size_t i = 0; i < runs_.size();) {
        if (runs_[i].host_node != host.self) {
            ++i;
            continue;
        }
        const target_run lost = remove_at(runs_, i);
        if (lost.phase == run_phase::executing) {
            executions_[lost.execution].end = elapsed_;
        }
    }
    start_node(host, host.self.incarnation + 1);
}

void slot_model::drop_message(std::uint32_t which, std::uint32_t index) {
    const auto remove_one = [index](auto& messages) {
        if (!messages.empty()) {
            remove_at(messages, index % messages.size());
        }
    };
    switch (which % 5) {
        case 0:
            return remove_one(appends_);
        case 1:
            return remove_one(reads_);
        case 2:
            return remove_one(hand_overs_);
        case 3:
            return remove_one(promise_requests_);
        default:
            return remove_one(promise_replies_);
    }
}

void slot_model::record_violation(const std::string& description) {
    if (violation_.empty()) {
        violation_ = description + " at " +
                     std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed_).count()) +
                     " ms";
    }
}

}  // namespace teaselpitch
