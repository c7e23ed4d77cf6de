#include "servers/health/crash_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace teaselpitch {
namespace {

constexpr std::size_t most_crashes_each = 4;

// The length keeps two neighbouring parts from passing for two others.
void add(XXH3_state_t* state, const void* data, std::size_t size) {
    const auto length = static_cast<std::uint64_t>(size);
    XXH3_64bits_update(state, &length, sizeof(length));
    XXH3_64bits_update(state, data, size);
}

std::size_t sketch_slot(std::uint64_t fingerprint, std::size_t row, std::size_t size) {
    return static_cast<std::size_t>(fingerprint >> (row * 32U)) % size;
}

}  // namespace

std::uint64_t fingerprint_of(const fingerprint_input& input) {
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const std::string_view part : {input.service, input.method, input.path, input.account}) {
        add(state.get(), part.data(), part.size());
    }
    const auto body = input.body.first(std::min(input.body.size(), fingerprint_body_bytes));
    add(state.get(), body.data(), body.size());
    return XXH3_64bits_digest(state.get());
}

crash_quarantine::crash_quarantine(const time_source& clock, quarantine_options options)
    : clock_(clock), options_(options), halved_at_(clock.now()) {}

crash_verdict crash_quarantine::on_crash(const crash_report& crash, std::chrono::milliseconds age) {
    const std::lock_guard lock(mutex_);
    entry* item = find_or_add(crash.fingerprint);
    add_crash(*item, {.target = crash.target, .at = clock_.now() - age});
    const std::uint32_t successes = successes_of(crash.fingerprint);
    const bool known = quarantined_now(*item);
    if (!known && item->crashes.size() < 2) {
        return crash_verdict::suspected;
    }
    if (!known && (successes >= options_.successes_per_crash * item->crashes.size() ||
                   (successes > 0 && has_worse_companion(crash.target)))) {
        return crash_verdict::harmless;
    }
    if (successes == 0) {
        release_companions(crash.target);
    }
    if (known) {
        return crash_verdict::known;
    }
    item->quarantined_until = clock_.now() + options_.duration;
    return crash_verdict::quarantine;
}

void crash_quarantine::add_crash(entry& item, const crash_time& crash) const {
    std::erase_if(item.crashes, [&](const crash_time& known) { return known.target == crash.target; });
    item.crashes.push_back(crash);
    forget_old_crashes(item);
    if (item.crashes.size() > most_crashes_each) {
        item.crashes.erase(item.crashes.begin());
    }
}

// A fingerprint that never succeeds and was in flight at the same crash is the likelier cause.
bool crash_quarantine::has_worse_companion(const target_identity& crashed) const {
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        return quarantined_now(item.second) && has_crash(item.second, crashed) &&
               successes_of(item.first) == 0;
    });
}

void crash_quarantine::release_companions(const target_identity& crashed) {
    for (auto& [fingerprint, item] : entries_) {
        if (quarantined_now(item) && has_crash(item, crashed) && successes_of(fingerprint) > 0) {
            item.quarantined_until = steady_time{};
        }
    }
}

bool crash_quarantine::has_crash(const entry& item, const target_identity& crashed) {
    return std::any_of(item.crashes.begin(), item.crashes.end(),
                       [&](const crash_time& known) { return known.target == crashed; });
}

void crash_quarantine::on_success(std::uint64_t fingerprint) {
    const std::lock_guard lock(mutex_);
    for (std::size_t row = 0; row < successes_.size(); ++row) {
        std::uint16_t& count = successes_[row][sketch_slot(fingerprint, row, sketch_size)];
        count += count < std::numeric_limits<std::uint16_t>::max() ? 1 : 0;
    }
}

void crash_quarantine::on_quarantine(const quarantined_fingerprint& fact) {
    const std::lock_guard lock(mutex_);
    const auto remaining = std::min<std::chrono::milliseconds>(fact.remaining, options_.duration);
    if (remaining <= std::chrono::milliseconds{0}) {
        return;
    }
    entry* item = find_or_add(fact.fingerprint);
    item->quarantined_until = std::max(item->quarantined_until, clock_.now() + remaining);
}

void crash_quarantine::on_tick() {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    for (auto& [fingerprint, item] : entries_) {
        forget_old_crashes(item);
    }
    std::erase_if(entries_, [this](const auto& item) {
        return item.second.crashes.empty() && !quarantined_now(item.second);
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
    return found != entries_.end() && quarantined_now(found->second);
}

bool crash_quarantine::is_suspect(std::uint64_t fingerprint) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() &&
           std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                       [this](const crash_time& item) { return clock_.now() - item.at <= options_.window; });
}

std::vector<quarantined_fingerprint> crash_quarantine::quarantines() const {
    const std::lock_guard lock(mutex_);
    std::vector<quarantined_fingerprint> result;
    for (const auto& [fingerprint, item] : entries_) {
        if (quarantined_now(item)) {
            const auto left = item.quarantined_until - clock_.now();
            result.push_back({.fingerprint = fingerprint,
                              .remaining = std::chrono::duration_cast<std::chrono::milliseconds>(left)});
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
    if (entries_.size() >= options_.most_fingerprints) {
        make_room();
    }
    return &entries_[fingerprint];
}

// Quarantines give way last, and then the one that ends first.
void crash_quarantine::make_room() {
    const auto rank = [this](const entry& item) {
        const steady_time last = item.crashes.empty() ? steady_time{} : item.crashes.back().at;
        return std::pair(quarantined_now(item), quarantined_now(item) ? item.quarantined_until : last);
    };
    const auto oldest = std::min_element(entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
        return rank(a.second) < rank(b.second);
    });
    entries_.erase(oldest);
}

void crash_quarantine::forget_old_crashes(entry& item) const {
    std::erase_if(item.crashes,
                  [this](const crash_time& known) { return clock_.now() - known.at > options_.window; });
}

bool crash_quarantine::quarantined_now(const entry& item) const {
    return item.quarantined_until > clock_.now();
}

std::uint32_t crash_quarantine::successes_of(std::uint64_t fingerprint) const {
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t row = 0; row < successes_.size(); ++row) {
        least = std::min<std::uint32_t>(least, successes_[row][sketch_slot(fingerprint, row, sketch_size)]);
    }
    return least;
}

}  // namespace teaselpitch
