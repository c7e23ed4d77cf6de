#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/admission/account_quota.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

struct quota_wallet_options {
    std::chrono::milliseconds lease{500};           ///< Validity of granted tokens, from the time of asking.
    std::chrono::milliseconds demand_horizon{250};  ///< Time whose expected demand is asked for in advance.
    std::chrono::milliseconds max_refusal_cache{250};
    std::chrono::milliseconds unreachable_retry{250};  ///< Time until an unreachable home is asked again.
    std::chrono::milliseconds ask_timeout{1'000};      ///< An ask without any result counts as lost then.
    double fallback_fraction = 0.1;  ///< Part of a rate that all nodes together use without a home.
    std::chrono::milliseconds idle_timeout{2'000};  ///< An entry without requests is removed after this time.
    std::size_t max_accounts = 65'536;              ///< About 250 bytes each.
};

/// Result of taking a token.
struct quota_take {
    enum class outcome : std::uint8_t {
        admitted,
        limited,           ///< The home refused.
        home_unreachable,  ///< No home answers, and the local bucket is empty.
        undecided,         ///< The home has to be asked, or is being asked.
    };
    outcome result = outcome::undecided;
    std::chrono::milliseconds retry_after{0};  ///< Set when refused.
    steady_time expires_at{};                  ///< Of the token that was taken.
};

/// A request for tokens of one account. At most one is in flight.
struct quota_ask {
    std::string account;
    std::uint32_t wanted = 0;
    std::uint64_t sequence = 0;
    steady_time asked_at{};
};

/// Tokens that a node does not need and returns to the home that granted them.
struct quota_return {
    std::string account;
    std::uint64_t home = 0;  ///< Value passed to on_grant().
    std::uint32_t tokens = 0;
};

/// Holds the tokens that the home nodes of the accounts have granted to this node, and decides when to ask
/// for more. Tokens are valid for one lease on this node's clock, counted from the time of asking. When the
/// home of an account can't be reached, a small local bucket admits this node's part of a fraction of the
/// rate. Not thread-safe.
class quota_wallet {
public:
    /// `seed` differs between nodes.
    quota_wallet(const time_source& clock, std::uint64_t seed, quota_wallet_options options = {});

    /// Sets the number of members that may be alive, among which the rate without a home is divided; 0 while
    /// the members are not known, which disables it.
    void set_possible_members(std::size_t count) { possible_members_ = count; }

    /// Takes a token for a request that has just arrived.
    quota_take take(std::string_view account, const account_quota& quota);
    /// Takes a token for a request that take() left undecided.
    quota_take take_again(std::string_view account);

    /// Reserves the right to ask. Returns false while an ask for the account is in flight.
    bool begin_ask(std::string_view account);
    /// Returns the ask to send for the given number of undecided requests.
    quota_ask make_ask(std::string_view account, std::uint32_t waiting);
    /// `home` identifies the granting node.
    void on_grant(const quota_ask& ask, std::uint32_t granted, std::chrono::milliseconds retry_after,
                  std::uint64_t home);
    /// The home is unknown, did not answer in time or can't grant.
    void on_failure(const quota_ask& ask);

    /// Returns a token whose request did not run and never will. An expired token is lost.
    void give_back(std::string_view account, steady_time expires_at);

    /// Removes idle entries, and removes and returns the tokens that will probably expire unused. Must be
    /// called about every 100 ms.
    std::vector<quota_return> on_tick();

    /// Returns true for the first refusal of an account in each second.
    bool should_log_refusal(std::string_view account);

    [[nodiscard]] std::size_t account_count() const { return entries_.size(); }

private:
    struct token_lot {
        std::uint32_t tokens = 0;
        steady_time expires_at{};

        [[nodiscard]] bool is_usable(steady_time now) const { return tokens > 0 && now < expires_at; }
    };

    struct entry {
        account_quota quota;
        token_lot latest;
        token_lot older;
        std::uint64_t home = 0;  ///< Node that granted `latest`.
        double recent = 0;       ///< Number of arrivals, decayed exponentially.
        steady_time counted_at{};
        steady_time used_at{};
        bool asking = false;
        std::uint64_t sequence = 0;
        steady_time ask_started_at{};
        steady_time refused_until{};  ///< The home is not asked again before.
        steady_time token_at{};       ///< Time at which the home expected the next token.
        steady_time unreachable_until{};
        double fallback_tokens = 0;
        std::optional<steady_time> fallback_filled_at;  ///< Set while the home is unreachable.
        steady_time logged_at{};
    };

    [[nodiscard]] double demand_per_s(const entry& account, steady_time now) const;
    quota_take take_from(entry& account, steady_time now);
    quota_take take_without_home(entry& account, steady_time now);
    bool is_idle(const entry& account, steady_time now) const;
    [[nodiscard]] std::uint32_t surplus(const entry& account, steady_time now) const;
    entry* find(std::string_view account);

    const time_source& clock_;
    const std::uint64_t seed_;
    const quota_wallet_options options_;
    std::size_t possible_members_ = 0;
    name_map<entry> entries_;
};

}  // namespace teaselpitch
