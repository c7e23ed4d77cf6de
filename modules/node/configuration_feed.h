#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "modules/node/configuration.h"
#include "servers/table/keyed_store.h"

namespace teaselpitch {

struct configuration_feed_options {
    /// Bounds of the random wait of a long-polling read; the store allows 30 s. A change ends the reads of
    /// all nodes at the same moment. With equal waits, reads that all lost their answers would end together,
    /// too.
    std::chrono::milliseconds min_read_wait{1'000};
    std::chrono::milliseconds max_read_wait{25'000};
    /// Time that a read may go on after another node has delivered a later version than the store.
    std::chrono::milliseconds overtaken_read_limit{1'500};
    std::chrono::milliseconds min_backoff{200};
    std::chrono::milliseconds max_backoff{2'000};
    std::uint64_t seed = 0;  ///< Seed of the backoff jitter.
};

struct configuration_feed_hooks {
    /// Called with each configuration that replaces the current one.
    std::function<void(const configuration&)> on_configuration;
    /// Called after each read that the store has answered. May be null.
    std::function<void()> on_contact = nullptr;
    /// Called with the reason when the store becomes unavailable, and with an empty reason when it is
    /// available again.
    std::function<void(const std::string& reason)> on_availability;
    /// Asks other nodes for a later configuration than this version, before the first one from the store
    /// takes effect: a store that was restored from an older copy may hold a version that is no longer in
    /// force. Must complete within a bounded time. Null when the store is trusted.
    std::function<awaitable<void>(std::uint64_t version)> ask_peers = nullptr;
    /// Called when the store was restored from an older copy, so that records of this node may be missing.
    std::function<void()> on_store_restored = nullptr;
};

/// Follows the operator's document on the store. Reads the newest record at the start and after each gap, and
/// uses long polling in between. The current version never decreases, whether an older document arrives from
/// the store or from another node. Control thread only.
class configuration_feed {
public:
    configuration_feed(const time_source& clock, keyed_store& store, configuration_source source,
                       configuration_feed_options options, configuration_feed_hooks hooks);

    // Commands.
    /// Reads the store until the coroutine is cancelled or run() is called again; waits with exponential
    /// backoff after an error.
    awaitable<void> run();
    /// Performs one read and applies the documents that it returned.
    awaitable<absl::Status> read_once();
    /// Applies a document from the store or from another node. Returns true when it replaced the current one;
    /// documents that cannot be decoded and versions that are not newer are ignored.
    bool apply_document(std::string_view document, std::string_view origin);

    // Queries.
    [[nodiscard]] const std::optional<configuration>& current() const { return current_; }
    [[nodiscard]] std::uint64_t version() const { return current_ ? current_->version : 0; }
    [[nodiscard]] bool store_available() const { return store_available_; }
    /// Returns whether the read in progress has probably lost its answer, because another node has delivered
    /// a later version meanwhile. The caller then runs run() again.
    [[nodiscard]] bool read_is_overtaken() const;

private:
    awaitable<absl::Status> read_newest();
    awaitable<absl::Status> read_next();
    awaitable<absl::Status> read_after_restore();
    void apply_records(const keyed_records& found);
    [[nodiscard]] std::uint64_t newest_version_in(const keyed_records& found) const;
    void update_availability(const absl::Status& status);
    std::chrono::milliseconds next_backoff();
    std::chrono::milliseconds next_read_wait();

    const time_source& clock_;
    keyed_store& store_;
    const configuration_source source_;
    const configuration_feed_options options_;
    const configuration_feed_hooks hooks_;
    std::optional<configuration> current_;
    std::optional<std::uint64_t> next_offset_;  ///< Empty until the newest record has been read.
    std::optional<std::uint64_t> era_;          ///< Generation of the store to which next_offset_ belongs.
    bool store_available_ = true;
    std::uint64_t reader_ =
        0;  ///< Number of the run() in charge. Reads of earlier ones do not change the state.
    bool reading_ = false;
    std::optional<steady_time> overtaken_at_;  ///< Time since which the read in progress is overtaken.
    std::chrono::milliseconds backoff_;
    std::minstd_rand random_;
};

}  // namespace teaselpitch
