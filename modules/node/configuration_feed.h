#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "modules/node/configuration.h"
#include "servers/table/keyed_store.h"

namespace teaselpitch {

struct configuration_feed_options {
    std::chrono::milliseconds read_wait{25'000};  ///< The store holds a read for this long; it allows 30 s.
    std::chrono::milliseconds min_backoff{200};
    std::chrono::milliseconds max_backoff{2'000};
    std::uint64_t seed = 0;  ///< Of the jitter.
};

struct configuration_feed_hooks {
    /// Called with each configuration that replaces the one in force.
    std::function<void(const configuration&)> on_configuration;
    /// Called when the store becomes unavailable, with the reason, and with an empty reason when it is back.
    std::function<void(const std::string& reason)> on_availability;
};

/// Follows the operator's document on the store: the newest record first and after each gap, long reads in
/// between. The version in force never goes back, whichever way an older document arrives. Control thread
/// only.
class configuration_feed {
public:
    configuration_feed(keyed_store& store, configuration_source source, configuration_feed_options options,
                       configuration_feed_hooks hooks);

    // Commands.
    /// Reads until cancelled.
    awaitable<void> run();
    /// One step of run(): a read and what follows from it.
    awaitable<absl::Status> step();
    /// Takes a document from the store or from another node. True when it replaced the one in force.
    bool offer(std::string_view document, std::string_view origin);

    // Queries.
    [[nodiscard]] const std::optional<configuration>& current() const { return current_; }
    [[nodiscard]] std::uint64_t version() const { return current_ ? current_->version : 0; }
    [[nodiscard]] bool store_available() const { return available_; }

private:
    awaitable<absl::Status> read_newest();
    awaitable<absl::Status> read_on();
    void take(const keyed_records& found);
    void set_available(const absl::Status& status);
    std::chrono::milliseconds next_backoff();

    keyed_store& store_;
    const configuration_source source_;
    const configuration_feed_options options_;
    const configuration_feed_hooks hooks_;
    std::optional<configuration> current_;
    std::optional<std::uint64_t>
        position_;  ///< Offset of the next record; empty before a read of the newest.
    bool available_ = true;
    std::chrono::milliseconds backoff_;
    std::minstd_rand random_;
};

}  // namespace teaselpitch
