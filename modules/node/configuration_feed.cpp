#include "modules/node/configuration_feed.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr std::string_view store_origin = "store";

}  // namespace

configuration_feed::configuration_feed(const time_source& clock, keyed_store& store,
                                       configuration_source source, configuration_feed_options options,
                                       configuration_feed_hooks hooks)
    : clock_(clock),
      store_(store),
      source_(std::move(source)),
      options_(options),
      hooks_(std::move(hooks)),
      backoff_(options.min_backoff),
      random_(static_cast<std::minstd_rand::result_type>(options.seed % std::minstd_rand::max() + 1)) {}

awaitable<void> configuration_feed::run() {
    const std::uint64_t reader = ++reader_;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (reader == reader_) {
        const absl::Status status = co_await read_once();
        if (status.ok() || reader != reader_) {
            backoff_ = options_.min_backoff;
            continue;
        }
        timer.expires_after(next_backoff());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

awaitable<absl::Status> configuration_feed::read_once() {
    const std::uint64_t reader = reader_;
    reading_ = true;
    overtaken_at_.reset();
    absl::Status status;
    if (next_offset_) {
        status = co_await read_next();
    } else {
        status = co_await read_newest();
    }
    if (reader != reader_) {
        co_return status;
    }
    if (era_ && store_.era() > *era_) {
        status = co_await read_after_restore();
    } else if (absl::IsOutOfRange(status)) {
        log_event(
            event_level::info, "configuration_gap",
            {{"topic", source_.topic}, {"offset", *next_offset_}, {"reason", std::string(status.message())}});
        next_offset_.reset();
        status = co_await read_newest();
    }
    if (reader == reader_) {
        reading_ = false;
        update_availability(status);
    }
    co_return status;
}

awaitable<absl::Status> configuration_feed::read_newest() {
    const std::uint64_t reader = reader_;
    const std::uint64_t era_before = store_.era();
    const auto found = co_await store_.read_newest(source_.topic);
    if (!found.ok()) {
        co_return found.status();
    }
    // When the store was restored during this read, era() is later than the one kept here, and the records
    // are read once more.
    const std::uint64_t era = era_before == 0 ? store_.era() : era_before;
    if (!current_ && hooks_.ask_peers) {
        co_await hooks_.ask_peers(newest_version_in(*found));
    }
    apply_records(*found);
    if (reader == reader_) {
        next_offset_ = found->end;
        era_ = era;
    }
    co_return absl::OkStatus();
}

// Offsets of the earlier generation may have been assigned to other records since, so that reading on from
// one would miss records.
awaitable<absl::Status> configuration_feed::read_after_restore() {
    log_event(event_level::warning, "store_restored",
              {{"topic", source_.topic},
               {"era", store_.era()},
               {"replaces_era", *era_},
               {"version_in_force", version()}});
    next_offset_.reset();
    era_ = store_.era();
    if (hooks_.on_store_restored) {
        hooks_.on_store_restored();
    }
    co_return co_await read_newest();
}

awaitable<absl::Status> configuration_feed::read_next() {
    const std::uint64_t reader = reader_;
    const auto found = co_await store_.read_from(source_.topic, *next_offset_, next_read_wait());
    if (!found.ok()) {
        co_return found.status();
    }
    apply_records(*found);
    if (!found->records.empty() && reader == reader_) {
        next_offset_ = found->records.back().offset + 1;
    }
    co_return absl::OkStatus();
}

void configuration_feed::apply_records(const keyed_records& found) {
    for (const keyed_record& record : found.records) {
        if (record.key == source_.key && !record.value.empty()) {
            apply_document(record.value, store_origin);
        }
    }
}

std::uint64_t configuration_feed::newest_version_in(const keyed_records& found) const {
    std::uint64_t newest = 0;
    for (const keyed_record& record : found.records) {
        if (record.key == source_.key && !record.value.empty()) {
            const absl::StatusOr<configuration> decoded = source_.decode(record.value);
            newest = std::max(newest, decoded.ok() ? decoded->version : 0);
        }
    }
    return newest;
}

bool configuration_feed::apply_document(std::string_view document, std::string_view origin) {
    absl::StatusOr<configuration> decoded = source_.decode(document);
    if (!decoded.ok()) {
        log_event(event_level::warning, "configuration_refused",
                  {{"origin", origin},
                   {"version_in_force", version()},
                   {"reason", std::string(decoded.status().message())}});
        return false;
    }
    if (decoded->version <= version()) {
        return false;
    }
    log_event(event_level::info, "configuration_in_force",
              {{"version", decoded->version},
               {"replaces", version()},
               {"origin", origin},
               {"routes", decoded->rows->routes().size()},
               {"accounts", decoded->accounts->size()}});
    if (const auto& names = decoded->accounts->names_without_keys(); !names.empty()) {
        log_event(event_level::warning, "accounts_without_keys",
                  {{"version", decoded->version}, {"count", names.size()}, {"first", names.front()}});
    }
    current_ = *std::move(decoded);
    if (reading_ && !overtaken_at_ && origin != store_origin) {
        overtaken_at_ = clock_.now();
    }
    hooks_.on_configuration(*current_);
    return true;
}

void configuration_feed::update_availability(const absl::Status& status) {
    if (status.ok() && hooks_.on_contact) {
        hooks_.on_contact();
    }
    if (std::exchange(store_available_, status.ok()) != status.ok()) {
        hooks_.on_availability(status.ok() ? std::string() : std::string(status.message()));
    }
}

bool configuration_feed::read_is_overtaken() const {
    return reading_ && overtaken_at_ && clock_.now() - *overtaken_at_ >= options_.overtaken_read_limit;
}

std::chrono::milliseconds configuration_feed::next_read_wait() {
    std::uniform_int_distribution<std::int64_t> wait(options_.min_read_wait.count(),
                                                     options_.max_read_wait.count());
    return std::chrono::milliseconds(wait(random_));
}

std::chrono::milliseconds configuration_feed::next_backoff() {
    std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 2, backoff_.count());
    backoff_ = std::min(backoff_ * 2, options_.max_backoff);
    return std::chrono::milliseconds(jitter(random_));
}

}  // namespace teaselpitch
