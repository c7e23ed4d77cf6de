#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "servers/admission/admission_queue.h"
#include "tests/fixed_seed.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

enum class step_kind { offer, release, cancel, tick, pass_time, set_slots, leave };

struct queue_step {
    step_kind kind;
    std::uint32_t value;
};

std::ostream& operator<<(std::ostream& out, const queue_step& value) {
    return out << static_cast<int>(value.kind) << ":" << value.value;
}

/// Tracks the state of every ticket and checks each result of the queue against it.
class ticket_model {
public:
    void run(const queue_step& next) {
        switch (next.kind) {
            case step_kind::offer:
                return offer(next.value);
            case step_kind::release:
                return end_running(next.value, &admission_queue::release);
            case step_kind::cancel:
                return cancel(next.value);
            case step_kind::tick:
                return apply(queue_.on_tick());
            case step_kind::pass_time:
                return clock_.advance(std::chrono::milliseconds(next.value % 30));
            case step_kind::set_slots:
                slots_ = next.value % 5;
                return apply(queue_.set_slots(slots_));
            case step_kind::leave:
                leaving_ = true;
                return queue_.set_leaving();
        }
    }

    void check_totals() const {
        const admission_load load = queue_.load();
        RC_ASSERT(load.running == running_.size());
        RC_ASSERT(load.queued == queued_.size());
        RC_ASSERT(load.queued <= 8U);
        RC_ASSERT(queued_.empty() || load.running >= slots_);
    }

private:
    void offer(std::uint32_t value) {
        const ticket_id ticket = ++last_ticket_;
        const steady_time deadline = clock_.now() + std::chrono::milliseconds(value % 120);
        const offer_result result = queue_.offer(ticket, deadline, std::to_string(value % 3));
        remove_dropped(result.dropped);
        if (result.outcome == offer_outcome::refused) {
            RC_ASSERT(result.error != error_kind::none);
            return;
        }
        RC_ASSERT(!leaving_);
        deadlines_[ticket] = deadline;
        if (result.outcome == offer_outcome::queued) {
            queued_.insert(ticket);
            return;
        }
        start(ticket);
    }

    void start(ticket_id ticket) {
        RC_ASSERT(deadlines_.at(ticket) > clock_.now());
        running_.insert(ticket);
        RC_ASSERT(running_.size() <= slots_);
    }

    void end_running(std::uint32_t value, admission_change (admission_queue::*end)(ticket_id)) {
        if (running_.empty()) {
            return;
        }
        const auto chosen = std::next(running_.begin(), static_cast<std::ptrdiff_t>(value % running_.size()));
        const ticket_id ticket = *chosen;
        running_.erase(chosen);
        apply((queue_.*end)(ticket));
    }

    void cancel(std::uint32_t value) {
        if (queued_.empty() || value % 2 == 0) {
            return end_running(value, &admission_queue::cancel);
        }
        const auto chosen = std::next(queued_.begin(), static_cast<std::ptrdiff_t>(value % queued_.size()));
        const ticket_id ticket = *chosen;
        queued_.erase(chosen);
        apply(queue_.cancel(ticket));
    }

    void apply(const admission_change& change) {
        remove_dropped(change.dropped);
        for (const ticket_id ticket : change.admitted) {
            RC_ASSERT(queued_.erase(ticket) == 1U);
            start(ticket);
        }
    }

    void remove_dropped(const std::vector<dropped_ticket>& dropped) {
        for (const dropped_ticket& entry : dropped) {
            RC_ASSERT(queued_.erase(entry.ticket) == 1U);
            RC_ASSERT(get_error_answer(entry.error).execution == execution_state::not_run);
        }
    }

    manual_time_source clock_;
    admission_queue queue_{clock_,
                           {.slots = 2, .max_queued = 8, .max_wait = 60ms, .initial_service_time = 10ms}};
    std::uint32_t slots_ = 2;
    bool leaving_ = false;
    ticket_id last_ticket_ = 0;
    std::set<ticket_id> running_;
    std::set<ticket_id> queued_;
    std::map<ticket_id, steady_time> deadlines_;
};

rc::Gen<queue_step> arbitrary_step() {
    using rc::gen::just;
    const auto kind = rc::gen::weightedElement<step_kind>({{10, step_kind::offer},
                                                           {5, step_kind::release},
                                                           {2, step_kind::cancel},
                                                           {2, step_kind::tick},
                                                           {4, step_kind::pass_time},
                                                           {1, step_kind::set_slots}});
    return rc::gen::construct<queue_step>(kind, rc::gen::inRange<std::uint32_t>(0, 100'000));
}

}  // namespace

BOOST_TEST_GLOBAL_CONFIGURATION(fixed_seed);

BOOST_AUTO_TEST_SUITE(admission_queue_sequences)

// Guards against exceeded slots, lost or duplicate tickets, and admission after the deadline or after
// leaving.
BOOST_AUTO_TEST_CASE(no_ticket_is_lost_and_no_slot_exceeded) {
    const bool holds = rc::check("admission queue", [] {
        ticket_model model;
        const auto steps =
            *rc::gen::scale(3.0, rc::gen::container<std::vector<queue_step>>(arbitrary_step()));
        const auto leave_at = *rc::gen::inRange<std::size_t>(0, 400);
        for (std::size_t i = 0; i < steps.size(); ++i) {
            if (i == leave_at) {
                model.run({step_kind::leave, 0});
            }
            model.run(steps[i]);
            model.check_totals();
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
