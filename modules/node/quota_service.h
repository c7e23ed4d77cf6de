#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/control.pb.h"
#include "modules/node/node_metrics.h"
#include "modules/proxy/ingress.h"
#include "servers/admission/quota_bank.h"
#include "servers/admission/quota_view.h"
#include "servers/admission/quota_wallet.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

/// A message for the home node of an account.
struct outgoing_quota_request {
    std::string home;  ///< Name of the home node.
    quota_ask ask;     ///< Unused when `request` only returns tokens.
    wire::QuotaRequest request;
};

/// Enforces the quotas of client accounts on one node: takes tokens for requests, asks the home nodes of the
/// accounts for more, and grants tokens for the accounts whose home this node is.
class quota_service {
public:
    struct hooks {
        /// Returns the quota of an account in the configuration in force. Called on any thread.
        std::function<account_quota(std::string_view account)> quota_of;
        /// Returns the version of that configuration.
        std::function<std::uint64_t()> version;
        std::function<void(std::function<void()>)> post_to_control_thread;
    };

    quota_service(const time_source& clock, node_identity self, node_metrics& metrics, hooks callbacks);

    // Commands for any shard.
    [[nodiscard]] account_quota quota_of(std::string_view account) const { return hooks_.quota_of(account); }
    /// Takes a token for a request. Waits for the home node if there is none, at most until the deadline.
    /// Ends with operation_aborted when the coroutine is cancelled; the request then holds no token.
    awaitable<quota_admission> admit(std::string account, account_quota quota, steady_time deadline);
    /// Returns the token of a request that has not run and never will.
    void return_token(std::string_view account, steady_time expires_at);

    // Commands for the control thread.
    /// Sets the function that sends a message and passes the answer to on_answer(). Must be set before the
    /// threads start.
    void set_sender(std::function<void(outgoing_quota_request)> send) { send_ = std::move(send); }
    void on_members(quota_members members);
    /// Must be called about every 100 ms.
    void on_tick();
    /// Answers another node as the home of an account.
    wire::QuotaGrant on_request(const wire::QuotaRequest& request);
    /// Ends an ask. `grant` is empty when the home could not be reached.
    void on_answer(const outgoing_quota_request& sent, const std::optional<wire::QuotaGrant>& grant);

private:
    /// A request that waits on its shard for the result of an ask.
    struct waiter;

    struct stripe {
        stripe(const time_source& clock, std::uint64_t seed) : wallet(clock, seed) {}

        std::mutex mutex;
        quota_wallet wallet;
        name_map<std::vector<std::shared_ptr<waiter>>> waiting;  ///< By account.
    };

    static constexpr std::size_t stripe_count = 16;

    stripe& stripe_of(std::string_view account);
    void abandon(std::string_view account, const std::shared_ptr<waiter>& leaving);
    quota_admission report(std::string_view account, const quota_take& taken);
    void post_ask(std::string account);
    void ask_home(const std::string& account);
    void decide_waiting(const std::string& account);
    void update_members();
    void return_tokens();

    const time_source& clock_;
    const node_identity self_;
    node_metrics& metrics_;
    const hooks hooks_;
    std::function<void(outgoing_quota_request)> send_;
    quota_view view_;
    quota_bank bank_;
    std::vector<std::unique_ptr<stripe>> stripes_;
    std::uint64_t ticks_ = 0;
};

}  // namespace teaselpitch
