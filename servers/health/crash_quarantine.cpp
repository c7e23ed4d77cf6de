#include "servers/health/crash_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace teaselpitch {
namespace {

constexpr std::size_t max_crashes_per_fingerprint = 4;
// Crashes within this time may have one cause that is not a request.
constexpr std::chrono::seconds unrelated_crash_window{10};
constexpr std::size_t max_recent_crashes = 64;

// Hashing the length as well keeps different splits of the same bytes into parts distinct.
void hash_part(XXH3_state_t* state, const void* data, std::size_t size) {
    const auto length = static_cast<std::uint64_t>(size);
    XXH3_64bits_update(state, &length, sizeof(length));
    XXH3_64bits_update(state, data, size);
}

std::size_t sketch_index(std::uint64_t fingerprint, std::size_t row, std::size_t size) {
    return static_cast<std::size_t>(fingerprint >> (row * 32U)) % size;
}

}  // namespace

std::uint64_t compute_fingerprint(const fingerprint_input& input) {
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const std::string_view part : {input.service, input.method, input.path, input.account}) {
        hash_part(state.get(), part.data(), part.size());
    }
    const auto body = input.body.first(std::min(input.body.size(), fingerprint_body_bytes));
    hash_part(state.get(), body.data(), body.size());
    return XXH3_64bits_digest(state.get());
}

crash_quarantine::crash_quarantine(const time_source& clock, quarantine_options options)
    : clock_(clock), options_(options), halved_at_(clock.now()) {}

crash_verdict crash_quarantine::on_crash(const crash_report& crash, std::chrono::milliseconds age) {
    const std::lock_guard lock(mutex_);
    entry* item = find_or_add(crash.fingerprint);
    const crash_time occurred{.target = crash.target, .occurred_at = clock_.now() - age};
    add_crash(*item, occurred);
    add_recent_crash(occurred);
    const std::uint32_t successes = successes_of(crash.fingerprint, *item);
    const bool already_quarantined = is_quarantined_now(*item);
    if (!already_quarantined && item->crashes.size() < required_crashes(*item)) {
        return crash_verdict::suspected;
    }
    if (!already_quarantined &&
        (successes >= harmless_successes(*item) || (successes > 0 && has_likelier_cause(crash.target)))) {
        return crash_verdict::harmless;
    }
    if (successes == 0) {
        release_succeeding_fingerprints(crash.target);
    }
    if (already_quarantined) {
        return crash_verdict::already_quarantined;
    }
    item->quarantined_until = clock_.now() + options_.duration;
    return crash_verdict::quarantine;
}

void crash_quarantine::add_crash(entry& item, const crash_time& crash) const {
    std::erase_if(item.crashes, [&](const crash_time& recorded) { return recorded.target == crash.target; });
    item.crashes.push_back(crash);
    remove_expired_crashes(item);
    if (item.crashes.size() > max_crashes_per_fingerprint) {
        item.crashes.erase(item.crashes.begin());
    }
}

void crash_quarantine::add_recent_crash(const crash_time& crash) {
    std::erase_if(recent_crashes_, [&](const crash_time& recorded) {
        return recorded.target == crash.target ||
               clock_.now() - recorded.occurred_at > unrelated_crash_window;
    });
    recent_crashes_.push_back(crash);
    if (recent_crashes_.size() > max_recent_crashes) {
        recent_crashes_.pop_front();
    }
}

std::size_t crash_quarantine::required_crashes(const entry& item) const {
    const bool explains_all =
        std::all_of(recent_crashes_.begin(), recent_crashes_.end(),
                    [&](const crash_time& recorded) { return has_crash(item, recorded.target); });
    return explains_all ? 2 : 3;
}

// Returns true when a quarantined fingerprint that never succeeds was in flight at the same crash. It is the
// more likely cause.
bool crash_quarantine::has_likelier_cause(const target_identity& crashed) const {
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        return is_quarantined_now(item.second) && has_crash(item.second, crashed) &&
               successes_of(item.first, item.second) == 0;
    });
}

void crash_quarantine::release_succeeding_fingerprints(const target_identity& crashed) {
    for (auto& [fingerprint, item] : entries_) {
        if (is_quarantined_now(item) && has_crash(item, crashed) && successes_of(fingerprint, item) > 0) {
            item.quarantined_until = steady_time{};
        }
    }
}

bool crash_quarantine::has_crash(const entry& item, const target_identity& crashed) {
    return std::any_of(item.crashes.begin(), item.crashes.end(),
                       [&](const crash_time& recorded) { return recorded.target == crashed; });
}

bool crash_quarantine::on_success(std::uint64_t fingerprint) {
    const std::lock_guard lock(mutex_);
    for (std::size_t row = 0; row < successes_.size(); ++row) {
        std::uint16_t& count = successes_[row][sketch_index(fingerprint, row, sketch_size)];
        count += count < std::numeric_limits<std::uint16_t>::max() ? 1 : 0;
    }
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return false;
    }
    ++found->second.own_successes;
    return release_if_harmless(fingerprint, found->second);
}

bool crash_quarantine::on_reported_successes(const success_report& report, const node_identity& origin) {
    const std::lock_guard lock(mutex_);
    entry* item = find_or_add(report.fingerprint);
    item->heard_at = clock_.now();
    // More reports than these change no verdict.
    if (reported_by_others(*item) < sufficient_successes()) {
        item->other_successes[origin] = report.successes;
    }
    return release_if_harmless(report.fingerprint, *item);
}

std::vector<success_report> crash_quarantine::take_success_reports() {
    const std::lock_guard lock(mutex_);
    std::vector<success_report> reports;
    for (auto& [fingerprint, item] : entries_) {
        const bool known_to_all =
            item.reported_successes + reported_by_others(item) >= sufficient_successes();
        if (item.own_successes > item.reported_successes && !known_to_all) {
            item.reported_successes = item.own_successes;
            reports.push_back({.fingerprint = fingerprint, .successes = item.own_successes});
        }
    }
    return reports;
}

// The number of crashes that are kept of a fingerprint is limited, so this many successes always suffice.
std::uint32_t crash_quarantine::sufficient_successes() const {
    return options_.successes_per_crash * static_cast<std::uint32_t>(max_crashes_per_fingerprint);
}

std::uint32_t crash_quarantine::harmless_successes(const entry& item) const {
    return options_.successes_per_crash *
           static_cast<std::uint32_t>(std::max<std::size_t>(item.crashes.size(), 2));
}

std::uint32_t crash_quarantine::reported_by_others(const entry& item) {
    std::uint32_t sum = 0;
    for (const auto& [origin, successes] : item.other_successes) {
        sum += successes;
    }
    return sum;
}

// The sketch also knows the successes before the crash, but may count those of other fingerprints.
std::uint32_t crash_quarantine::successes_of(std::uint64_t fingerprint, const entry& item) const {
    return std::max(estimate_successes(fingerprint), item.own_successes) + reported_by_others(item);
}

bool crash_quarantine::release_if_harmless(std::uint64_t fingerprint, entry& item) {
    if (!is_quarantined_now(item) || successes_of(fingerprint, item) < harmless_successes(item)) {
        return false;
    }
    item.quarantined_until = steady_time{};
    return true;
}

void crash_quarantine::on_quarantine(const quarantined_fingerprint& fact) {
    const std::lock_guard lock(mutex_);
    const auto remaining = std::min<std::chrono::milliseconds>(fact.remaining, options_.duration);
    if (remaining <= std::chrono::milliseconds{0}) {
        return;
    }
    entry* item = find_or_add(fact.fingerprint);
    if (successes_of(fact.fingerprint, *item) >= harmless_successes(*item)) {
        return;
    }
    item->quarantined_until = std::max(item->quarantined_until, clock_.now() + remaining);
}

void crash_quarantine::on_tick() {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    for (auto& [fingerprint, item] : entries_) {
        remove_expired_crashes(item);
    }
    std::erase_if(entries_, [this](const auto& item) {
        return item.second.crashes.empty() && !is_quarantined_now(item.second) &&
               clock_.now() - item.second.heard_at > options_.window;
    });
    if (now - halved_at_ < options_.window) {
        return;
    }
    halved_at_ = now;
    for (auto& row : successes_) {
        for (std::uint16_t& count : row) {
            count /= 2;
        }
    }
}

bool crash_quarantine::is_quarantined(std::uint64_t fingerprint) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && is_quarantined_now(found->second);
}

bool crash_quarantine::is_suspect(std::uint64_t fingerprint) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() &&
           std::any_of(
               found->second.crashes.begin(), found->second.crashes.end(),
               [this](const crash_time& item) { return clock_.now() - item.occurred_at <= options_.window; });
}

std::vector<quarantined_fingerprint> crash_quarantine::quarantines() const {
    const std::lock_guard lock(mutex_);
    std::vector<quarantined_fingerprint> result;
    for (const auto& [fingerprint, item] : entries_) {
        if (is_quarantined_now(item)) {
            const auto time_left = item.quarantined_until - clock_.now();
            result.push_back({.fingerprint = fingerprint,
                              .remaining = std::chrono::duration_cast<std::chrono::milliseconds>(time_left)});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.fingerprint < b.fingerprint; });
    return result;
}

std::size_t crash_quarantine::size() const {
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

crash_quarantine::entry* crash_quarantine::find_or_add(std::uint64_t fingerprint) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end()) {
        return &found->second;
    }
    if (entries_.size() >= options_.max_fingerprints) {
        evict_entry();
    }
    return &entries_[fingerprint];
}

// Evicts the entry with the oldest last crash. Quarantined entries are evicted only when all entries are
// quarantined, starting with the one that expires first.
void crash_quarantine::evict_entry() {
    const auto rank = [this](const entry& item) {
        const steady_time last = item.crashes.empty() ? steady_time{} : item.crashes.back().occurred_at;
        return std::pair(is_quarantined_now(item), is_quarantined_now(item) ? item.quarantined_until : last);
    };
    const auto oldest = std::min_element(entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
        return rank(a.second) < rank(b.second);
    });
    entries_.erase(oldest);
}

void crash_quarantine::remove_expired_crashes(entry& item) const {
    std::erase_if(item.crashes, [this](const crash_time& recorded) {
        return clock_.now() - recorded.occurred_at > options_.window;
    });
}

bool crash_quarantine::is_quarantined_now(const entry& item) const {
    return item.quarantined_until > clock_.now();
}

std::uint32_t crash_quarantine::estimate_successes(std::uint64_t fingerprint) const {
    std::uint32_t estimate = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t row = 0; row < successes_.size(); ++row) {
        estimate =
            std::min<std::uint32_t>(estimate, successes_[row][sketch_index(fingerprint, row, sketch_size)]);
    }
    return estimate;
}

}  // namespace teaselpitch
