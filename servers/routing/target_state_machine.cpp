#include "servers/routing/target_state_machine.h"

#include <algorithm>
#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstddef>

namespace teaselpitch {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr std::array<double, 4> trial_shares{0.01, 0.05, 0.25, 1.0};

struct warm_up_over {};
struct eject_event {};
struct wait_over {};
struct step_passed {};
struct readmit_event {};
struct leave_event {};

// Timer, wait and trial step of one target, modified by the transition actions.
struct target_timing {
    const time_source& clock;
    target_state_options options;
    steady_time timer_start;
    std::chrono::milliseconds next_wait;
    std::chrono::milliseconds wait;
    std::size_t step = 0;

    void restart_timer() { timer_start = clock.now(); }
    [[nodiscard]] std::chrono::nanoseconds elapsed() const { return clock.now() - timer_start; }

    void start_wait() {
        wait = next_wait;
        next_wait = std::min(next_wait * 2, options.max_wait);
        restart_timer();
    }

    // Halves the next wait for each full period that the target was healthy.
    void shrink_wait() {
        for (auto healthy = elapsed();
             healthy >= options.wait_halving_time && next_wait > options.initial_wait;
             healthy -= options.wait_halving_time) {
            next_wait = std::max(next_wait / 2, options.initial_wait);
        }
    }
};

struct state_machine_front : msm::front::state_machine_def<state_machine_front> {
    using no_message_queue = int;
    using no_exception_thrown = int;

    explicit state_machine_front(target_timing& target) : timing(target) {}

    struct warming : msm::front::state<> {};
    struct healthy : msm::front::state<> {};
    struct ejected : msm::front::state<> {};
    struct trial : msm::front::state<> {};
    struct leaving : msm::front::state<> {};
    using initial_state = warming;

    struct enter_state {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) {
            machine.timing.restart_timer();
        }
    };
    struct start_wait {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) {
            machine.timing.start_wait();
        }
    };
    struct shrink_and_start_wait {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) {
            machine.timing.shrink_wait();
            machine.timing.start_wait();
        }
    };
    struct start_trial {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) {
            machine.timing.step = 0;
            machine.timing.restart_timer();
        }
    };
    struct advance_trial {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) {
            ++machine.timing.step;
            machine.timing.restart_timer();
        }
    };
    struct restore_full_share {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) {
            machine.timing.step = trial_shares.size() - 1;
            machine.timing.restart_timer();
        }
    };
    struct has_more_steps {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) {
            return machine.timing.step + 1 < trial_shares.size();
        }
    };
    struct is_last_step {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) {
            return machine.timing.step + 1 >= trial_shares.size();
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<warming, warm_up_over, healthy, enter_state, none>,
        Row<warming, eject_event, ejected, start_wait, none>,
        Row<warming, leave_event, leaving, enter_state, none>,
        Row<healthy, eject_event, ejected, shrink_and_start_wait, none>,
        Row<healthy, leave_event, leaving, enter_state, none>,
        Row<ejected, wait_over, trial, start_trial, none>,
        Row<ejected, readmit_event, trial, restore_full_share, none>,
        Row<ejected, leave_event, leaving, enter_state, none>,
        Row<trial, step_passed, trial, advance_trial, has_more_steps>,
        Row<trial, step_passed, healthy, enter_state, is_last_step>,
        Row<trial, eject_event, ejected, start_wait, none>,
        Row<trial, readmit_event, trial, restore_full_share, none>,
        Row<trial, leave_event, leaving, enter_state, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int) {}

    target_timing& timing;
};

using back_end = msm::back::state_machine<state_machine_front>;

template <class State>
constexpr auto state_id = static_cast<target_state>(msm::back::get_state_id<back_end::stt, State>::value);

// MSM numbers the states by their order in the transition table.
static_assert(state_id<state_machine_front::warming> == target_state::warming);
static_assert(state_id<state_machine_front::healthy> == target_state::healthy);
static_assert(state_id<state_machine_front::ejected> == target_state::ejected);
static_assert(state_id<state_machine_front::trial> == target_state::trial);
static_assert(state_id<state_machine_front::leaving> == target_state::leaving);

}  // namespace

struct target_state_machine::machine {
    machine(const time_source& clock, const target_state_options& options, steady_time ready_since)
        : timing{.clock = clock,
                 .options = options,
                 .timer_start = ready_since,
                 .next_wait = options.initial_wait,
                 .wait = options.initial_wait},
          states(timing) {
        states.start();
    }

    [[nodiscard]] target_state state() const { return static_cast<target_state>(states.current_state()[0]); }

    target_timing timing;
    back_end states;
};

std::string_view to_string(target_state state) {
    constexpr std::array<std::string_view, 5> names{"warming", "healthy", "ejected", "trial", "leaving"};
    return names[static_cast<std::size_t>(state)];
}

target_state_machine::target_state_machine(const time_source& clock, const target_state_options& options,
                                           steady_time ready_since)
    : machine_(std::make_unique<machine>(clock, options, ready_since)) {}
target_state_machine::target_state_machine(target_state_machine&&) noexcept = default;
target_state_machine& target_state_machine::operator=(target_state_machine&&) noexcept = default;
target_state_machine::~target_state_machine() = default;

void target_state_machine::eject() {
    machine_->states.process_event(eject_event{});
}

void target_state_machine::readmit() {
    machine_->states.process_event(readmit_event{});
}

void target_state_machine::leave() {
    machine_->states.process_event(leave_event{});
}

void target_state_machine::on_tick(bool trial_passing) {
    const target_timing& timing = machine_->timing;
    const auto elapsed = timing.elapsed();
    const target_state current = state();
    if (current == target_state::warming && elapsed >= timing.options.warm_up) {
        machine_->states.process_event(warm_up_over{});
    } else if (current == target_state::ejected && elapsed >= timing.wait) {
        machine_->states.process_event(wait_over{});
    } else if (current == target_state::trial && trial_passing && elapsed >= timing.options.trial_step) {
        machine_->states.process_event(step_passed{});
    }
}

target_state target_state_machine::state() const {
    return machine_->state();
}

double target_state_machine::share() const {
    switch (state()) {
        case target_state::warming:
        case target_state::healthy:
            return 1.0;
        case target_state::trial:
            return trial_shares[machine_->timing.step];
        case target_state::ejected:
        case target_state::leaving:
            break;
    }
    return 0.0;
}

bool target_state_machine::in_service() const {
    const target_state current = state();
    return current == target_state::healthy ||
           (current == target_state::trial && machine_->timing.step + 1 == trial_shares.size());
}

std::chrono::milliseconds target_state_machine::wait() const {
    return state() == target_state::ejected ? machine_->timing.wait : machine_->timing.next_wait;
}

std::chrono::nanoseconds target_state_machine::time_in_state() const {
    return machine_->timing.elapsed();
}

}  // namespace teaselpitch
