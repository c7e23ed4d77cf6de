#include "tests/servers/claims/slot_model.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr std::size_t node_count = 5;
constexpr std::array<nanoseconds, 12> steps{20ms, 50ms, 100ms, 200ms, 500ms, 1s, 1s, 1900ms, 3s, 5s, 7s, 20s};
constexpr std::array<double, 3> rates{0.99, 1.0, 1.01};

slot_options options_of(const scheme& variant) {
    slot_settings settings = variant.settings;
    settings.clock_error = variant.stretches_waits ? settings.clock_error : 0;
    settings.longest_run = variant.counts_longest_run ? settings.longest_run : 0ms;
    slot_options options = make_slot_options(settings);
    options.takeover_wait = variant.waits_after_takeover ? options.takeover_wait : 0ns;
    return options;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const action& value) {
    return out << static_cast<int>(value.kind) << "(" << value.a << "," << value.b << ")";
}

slot_model::slot_model(scheme variant, std::uint32_t clock_rates)
    : scheme_(std::move(variant)), options_(options_of(scheme_)), nodes_(node_count) {
    for (std::size_t i = 0; i < node_count; ++i) {
        nodes_[i].self.name = "n" + std::to_string(i);
        nodes_[i].rate = rates[clock_rates % rates.size()];
        clock_rates /= rates.size();
        nodes_[i].clock = std::make_unique<manual_time_source>();
        start(nodes_[i], 1);
    }
    append(nodes_[0], false, 0);
    land_append(0, 1);
    for (node& reader : nodes_) {
        read_log(reader, reader.clock->now(), log_.size());
    }
}

void slot_model::start(node& place, std::uint64_t incarnation) {
    place.self.incarnation = incarnation;
    slot_options holder_options = options_;
    if (!scheme_.checks_freshness) {
        holder_options.lease = 24h;
    }
    const time_source& clock = *place.clock;
    place.holder.reset();  // Refers to the ledger.
    place.ledger = std::make_unique<claim_ledger>(
        clock, claim_options{.retention = options_.retention, .max_claims = 8});
    place.holder = std::make_unique<slot_holder>(clock, holder_options, place.self, the_slot, *place.ledger);
    place.promises = std::make_unique<lease_promises>(clock, options_, place.self);
    place.requests = std::make_unique<promise_requests>(clock, options_, place.self);
    place.map = slot_map();
    place.position = 0;
}

slot_model::node* slot_model::find(const node_identity& self) {
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const node& place) { return place.self == self; });
    return found == nodes_.end() ? nullptr : &*found;
}

void slot_model::run(const action& next) {
    switch (next.kind) {
        case act::pass_time:
            return pass_time(next.a);
        case act::read_log:
            if (at(next.a).reaches_log) {
                read_log(at(next.a), at(next.a).clock->now(), log_.size());
            }
            return;
        case act::issue_read:
            return issue_read(at(next.a));
        case act::deliver_read:
            return deliver_read(next.a);
        case act::toggle_log:
            at(next.a).reaches_log = !at(next.a).reaches_log;
            return;
        case act::take_over:
            return take_over(at(next.a), next.b);
        case act::renew:
            return renew(at(next.a), next.b);
        case act::hand_over:
            return hand_over(at(next.a), next.b);
        case act::deliver_hand_over:
            return deliver_hand_over(next.a, next.b);
        case act::land_append:
            return land_append(next.a, next.b);
        case act::promise_round:
            return promise_round(at(next.a));
        case act::ask_promise:
            return ask_promise(at(next.a));
        case act::deliver_request:
            return deliver_request(next.a);
        case act::deliver_reply:
            return deliver_reply(next.a);
        case act::send:
            arrive(make_send(next.a), at(next.b));
            return;
        case act::send_late:
            late_sends_.push_back(make_send(next.a));
            return;
        case act::deliver_send:
            return deliver_send(next.a, at(next.b));
        case act::send_and_write:
            return send_and_write(next.a, at(next.b), next.b / 8);
        case act::check:
            return check(next.a);
        case act::look:
            return look(next.a);
        case act::write:
            return write(next.a);
        case act::end_run:
            return end_run(next.a, next.b);
        case act::renounce:
            return at(next.a).promises->renounce();
        case act::reset:
            return reset(at(next.a), next.b);
        case act::crash:
            return crash(at(next.a));
        case act::drop_message:
            return drop_message(next.a, next.b);
        case act::count:
            return;
    }
}

void slot_model::pass_time(std::uint32_t choice) {
    const nanoseconds step = steps[choice % steps.size()];
    real_ += step;
    for (node& place : nodes_) {
        place.clock->advance(
            nanoseconds(static_cast<std::int64_t>(static_cast<double>(step.count()) * place.rate)));
        place.ledger->on_tick();
    }
    for (std::size_t i = 0; i < runs_.size();) {
        const bool over = runs_[i].phase == run_phase::executing &&
                          real_ - executions_[runs_[i].execution].start >= scheme_.settings.longest_run;
        if (!over) {
            ++i;
            continue;
        }
        execution& done = executions_[runs_[i].execution];
        done.end = done.start + scheme_.settings.longest_run;
        finish(i, 1);
    }
}

void slot_model::read_log(node& reader, steady_time issued_at, std::size_t end) {
    for (; reader.position < end; ++reader.position) {
        const log_record& record = log_[reader.position];
        const std::uint64_t offset = reader.position + 1;
        if (!reader.map.apply(to_wire(record.assignment), record.appender, record.reset, offset).ok()) {
            continue;
        }
        const slot_assignment& current = *reader.map.find(the_slot);
        reader.holder->on_assignment(current);
        reader.promises->on_assignment(current);
        reader.requests->on_assignment(current);
    }
    reader.holder->on_fresh_log_read(issued_at);
}

void slot_model::issue_read(node& reader) {
    if (reader.reaches_log) {
        reads_.push_back({reader.self, reader.clock->now(), log_.size()});
    }
}

void slot_model::deliver_read(std::uint32_t index) {
    if (reads_.empty()) {
        return;
    }
    const pending_read read = take(reads_, index % reads_.size());
    if (node* reader = find(read.reader); reader != nullptr) {
        read_log(*reader, read.issued_at, read.end);
    }
}

void slot_model::append(node& appender, bool planned, std::uint32_t choice) {
    const slot_assignment* current = appender.map.find(the_slot);
    slot_assignment next{.slot = the_slot, .holder = appender.self, .planned = planned};
    next.previous_epoch = current == nullptr ? 0 : current->epoch;
    // Any two of the other nodes, as the choice says.
    const std::size_t own = static_cast<std::size_t>(&appender - nodes_.data());
    const std::size_t first = 1 + choice % (node_count - 1);
    const std::size_t second = 1 + (choice / 4) % (node_count - 1);
    next.candidates.push_back(nodes_[(own + first) % node_count].self);
    next.candidates.push_back(
        nodes_[(own + (second == first ? first % (node_count - 1) + 1 : second)) % node_count].self);
    appends_.push_back({.assignment = next, .appender = appender.self});
}

void slot_model::take_over(node& candidate, std::uint32_t choice) {
    const slot_assignment* current = candidate.map.find(the_slot);
    if (current == nullptr || std::find(current->candidates.begin(), current->candidates.end(),
                                        candidate.self) == current->candidates.end()) {
        return;
    }
    lease_promises unregistered(*candidate.clock, options_, candidate.self);
    const bool allowed = scheme_.registers_appends
                             ? candidate.promises->begin_append(the_slot, current->epoch)
                             : unregistered.begin_append(the_slot, current->epoch);
    if (allowed && candidate.reaches_log) {
        append(candidate, false, choice);
    } else if (allowed && scheme_.registers_appends) {
        candidate.promises->on_append_not_sent(the_slot, current->epoch);
    }
}

void slot_model::renew(node& holder, std::uint32_t choice) {
    const slot_assignment* current = holder.map.find(the_slot);
    if (current == nullptr || current->holder != holder.self) {
        return;
    }
    if (scheme_.announces_renewals) {
        holder.holder->on_own_append();
    }
    if (holder.reaches_log) {
        append(holder, false, choice);
    } else {
        holder.holder->on_own_append_not_sent(current->epoch);
    }
}

void slot_model::hand_over(node& holder, std::uint32_t choice) {
    node& successor = nodes_[choice % node_count];
    holder.holder->begin_hand_over();
    // Without an export the holder only waits for its running requests.
    if (&successor == &holder || choice / 8 % 2 == 1) {
        return;
    }
    std::optional<wire::SlotClaims> exported = holder.holder->export_claims();
    if (!exported) {
        return;
    }
    wire::SlotClaims& claims = *exported;
    if (!scheme_.hands_over_claims) {
        claims.clear_claims();
    }
    if (!scheme_.inherits_window) {
        claims.set_first_sends_only_ms(0);
    }
    hand_overs_.push_back({successor.self, claims});
}

void slot_model::deliver_hand_over(std::uint32_t index, std::uint32_t choice) {
    if (hand_overs_.empty()) {
        return;
    }
    const sent_claims sent = take(hand_overs_, index % hand_overs_.size());
    node* successor = find(sent.to);
    if (successor == nullptr || !successor->reaches_log) {
        return;
    }
    const slot_assignment* current = successor->map.find(the_slot);
    if (current != nullptr && current->epoch == sent.claims.epoch() &&
        successor->holder->import_claims(sent.claims).ok()) {
        append(*successor, true, choice);
    }
}

void slot_model::land_append(std::uint32_t index, std::uint32_t choice) {
    if (appends_.empty()) {
        return;
    }
    const std::size_t chosen = index % appends_.size();
    log_.push_back(appends_[chosen]);
    if (choice % 4 != 0) {  // Otherwise the append is repeated, and lands a second time later.
        take(appends_, chosen);
    }
}

void slot_model::promise_round(node& holder) {
    for (const wire::PromiseRequest& request : holder.requests->make_requests()) {
        node* candidate = find(from_wire(request.candidate()));
        if (candidate != nullptr) {
            on_reply(holder, candidate->promises->on_request(request));
        }
    }
}

void slot_model::on_reply(node& holder, const wire::PromiseReply& reply) {
    holder.requests->on_reply(reply);
    if (const auto since = holder.requests->promised_since(); since) {
        holder.holder->on_promised(holder.requests->epoch(), *since);
    }
}

void slot_model::ask_promise(node& holder) {
    for (wire::PromiseRequest& request : holder.requests->make_requests()) {
        promise_requests_.push_back(std::move(request));
    }
}

void slot_model::deliver_request(std::uint32_t index) {
    if (promise_requests_.empty()) {
        return;
    }
    const wire::PromiseRequest request = take(promise_requests_, index % promise_requests_.size());
    // A request that reaches the next incarnation is refused there, so it is delivered by name.
    for (node& candidate : nodes_) {
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
    const auto [to, reply] = take(promise_replies_, index % promise_replies_.size());
    if (node* holder = find(to); holder != nullptr) {
        on_reply(*holder, reply);
    }
}

void slot_model::reset(node& holder, std::uint32_t choice) {
    slot_map truth;
    for (std::size_t i = 0; i < log_.size(); ++i) {
        static_cast<void>(truth.apply(to_wire(log_[i].assignment), log_[i].appender, log_[i].reset, i + 1));
    }
    // An operator may reset a slot only when its holder and all its candidates are gone.
    const slot_assignment& current = *truth.find(the_slot);
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

void slot_model::crash(node& place) {
    for (std::size_t i = 0; i < runs_.size();) {
        if (runs_[i].where != place.self) {
            ++i;
            continue;
        }
        const target_run lost = take(runs_, i);
        if (lost.phase == run_phase::executing) {
            executions_[lost.execution].end = real_;
        }
    }
    start(place, place.self.incarnation + 1);
}

void slot_model::drop_message(std::uint32_t which, std::uint32_t index) {
    const auto drop = [index](auto& messages) {
        if (!messages.empty()) {
            take(messages, index % messages.size());
        }
    };
    switch (which % 5) {
        case 0:
            return drop(appends_);
        case 1:
            return drop(reads_);
        case 2:
            return drop(hand_overs_);
        case 3:
            return drop(promise_requests_);
        default:
            return drop(promise_replies_);
    }
}

void slot_model::fail(const std::string& what) {
    if (violation_.empty()) {
        violation_ = what + " at " +
                     std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(real_).count()) +
                     " ms";
    }
}

}  // namespace teaselpitch
