#include "modules/node/quota_service.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "core/event_log.h"
#include "servers/claims/slot_map.h"

namespace teaselpitch {
namespace {

// Longer than an answer of the home and a second ask take, so that only a result that was lost is not
// awaited.
constexpr std::chrono::milliseconds max_wait{1'000};
// A bucket is scanned for removal less often than the wallets, whose tokens live for half a second.
constexpr int bank_tick_interval = 10;

std::string_view reason_of(quota_take::outcome result) {
    switch (result) {
        case quota_take::outcome::admitted:
            return "";
        case quota_take::outcome::limited:
            return "limited";
        default:
            return "home_unreachable";
    }
}

}  // namespace

struct quota_service::waiter {
    explicit waiter(const boost::asio::any_io_executor& executor) : timer(executor) {}

    boost::asio::steady_timer timer;  ///< Used on the shard of the request only.
    // Guarded by the mutex of the stripe.
    std::optional<quota_take> result;
    bool consumed = false;  ///< The request has received the result.
};

quota_service::quota_service(const time_source& clock, node_identity self, node_metrics& metrics,
                             hooks callbacks)
    : clock_(clock),
      self_(std::move(self)),
      metrics_(metrics),
      hooks_(std::move(callbacks)),
      view_(clock, self_.name),
      bank_(clock, view_) {
    for (std::size_t i = 0; i < stripe_count; ++i) {
        stripes_.push_back(std::make_unique<stripe>(clock, stable_hash(self_.name, self_.incarnation)));
    }
}

quota_service::stripe& quota_service::stripe_of(std::string_view account) {
    return *stripes_[stable_hash(account) % stripe_count];
}

awaitable<quota_admission> quota_service::admit(std::string account, account_quota quota,
                                                steady_time deadline) {
    const auto executor = co_await boost::asio::this_coro::executor;
    stripe& own = stripe_of(account);
    const auto self = std::make_shared<waiter>(executor);
    quota_take taken;
    bool must_ask = false;
    {
        const std::lock_guard lock(own.mutex);
        taken = own.wallet.take(account, quota);
        if (taken.result == quota_take::outcome::undecided) {
            own.waiting[account].push_back(self);
            must_ask = own.wallet.begin_ask(account);
        }
    }
    if (taken.result != quota_take::outcome::undecided) {
        co_return report(account, taken);
    }
    const absl::Cleanup leave = [this, &account, &self] { abandon(account, self); };
    if (must_ask) {
        post_ask(account);
    }
    self->timer.expires_after(std::min<std::chrono::nanoseconds>(
        std::max(deadline - clock_.now(), steady_time::duration{}), max_wait));
    boost::system::error_code ignored;
    co_await self->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    const auto state = co_await boost::asio::this_coro::cancellation_state;
    if (state.cancelled() != boost::asio::cancellation_type::none) {
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    {
        const std::lock_guard lock(own.mutex);
        self->consumed = self->result.has_value();
        taken = self->result.value_or(quota_take{.result = quota_take::outcome::home_unreachable,
                                                 .retry_after = quota_wallet_options{}.unreachable_retry});
    }
    if (!self->consumed && clock_.now() >= deadline) {
        quota_admission late;
        late.refused = {error_kind::deadline_expired, "the deadline passed while the quota was checked",
                        std::nullopt};
        co_return late;
    }
    co_return report(account, taken);
}

void quota_service::abandon(std::string_view account, const std::shared_ptr<waiter>& leaving) {
    stripe& own = stripe_of(account);
    const std::lock_guard lock(own.mutex);
    if (leaving->result) {
        if (!leaving->consumed && leaving->result->result == quota_take::outcome::admitted) {
            own.wallet.give_back(account, leaving->result->expires_at);
        }
        return;
    }
    const auto found = own.waiting.find(account);
    if (found == own.waiting.end()) {
        return;
    }
    std::erase(found->second, leaving);
    if (found->second.empty()) {
        own.waiting.erase(found);
    }
}

quota_admission quota_service::report(std::string_view account, const quota_take& taken) {
    quota_admission result;
    metrics_.count_quota(taken.result == quota_take::outcome::admitted ? "admitted" : "refused",
                         reason_of(taken.result));
    if (taken.result == quota_take::outcome::admitted) {
        result.token_expires_at = taken.expires_at;
        return result;
    }
    const bool limited = taken.result == quota_take::outcome::limited;
    result.refused = {limited ? error_kind::account_limited : error_kind::quota_unavailable,
                      limited ? "account " + std::string(account) + " exceeds its quota"
                              : "the home node of account " + std::string(account) + " can't be reached",
                      taken.retry_after};
    bool is_first = false;
    {
        stripe& own = stripe_of(account);
        const std::lock_guard lock(own.mutex);
        is_first = own.wallet.should_log_refusal(account);
    }
    if (is_first) {
        log_event(event_level::info, "quota_refused",
                  {{"account", account},
                   {"reason", reason_of(taken.result)},
                   {"retry_after_ms", taken.retry_after.count()}});
    }
    return result;
}

void quota_service::return_token(std::string_view account, steady_time expires_at) {
    stripe& own = stripe_of(account);
    const std::lock_guard lock(own.mutex);
    own.wallet.give_back(account, expires_at);
}

void quota_service::post_ask(std::string account) {
    hooks_.post_to_control_thread([this, account = std::move(account)] { ask_home(account); });
}

void quota_service::ask_home(const std::string& account) {
    outgoing_quota_request message;
    {
        stripe& own = stripe_of(account);
        const std::lock_guard lock(own.mutex);
        const auto found = own.waiting.find(account);
        const std::size_t waiting = found == own.waiting.end() ? 0 : found->second.size();
        message.ask = own.wallet.make_ask(account, static_cast<std::uint32_t>(waiting));
    }
    message.home = view_.home_of(account);
    if (message.ask.wanted == 0) {
        // All requests that waited have ended meanwhile.
        on_answer(message, wire::QuotaGrant());
        return;
    }
    message.request.set_account(account);
    message.request.set_wanted(message.ask.wanted);
    message.request.set_version(hooks_.version());
    *message.request.mutable_from() = to_wire(self_);
    if (message.home.empty()) {
        on_answer(message, std::nullopt);
    } else if (message.home == self_.name) {
        on_answer(message, on_request(message.request));
    } else {
        send_(std::move(message));
    }
}

wire::QuotaGrant quota_service::on_request(const wire::QuotaRequest& request) {
    if (request.returned() > 0) {
        bank_.give_back(request.account(), request.returned());
    }
    wire::QuotaGrant answer;
    answer.set_version(hooks_.version());
    if (request.wanted() > 0) {
        const quota_grant grant =
            bank_.grant(request.account(), request.wanted(), hooks_.quota_of(request.account()));
        answer.set_granted(grant.granted);
        answer.set_retry_after_ms(static_cast<std::uint64_t>(grant.retry_after.count()));
    }
    return answer;
}

void quota_service::on_answer(const outgoing_quota_request& sent,
                              const std::optional<wire::QuotaGrant>& grant) {
    // A home that can't grant answers with neither tokens nor a delay.
    const bool decided =
        grant && (grant->granted() > 0 || grant->retry_after_ms() > 0 || sent.ask.wanted == 0);
    {
        stripe& own = stripe_of(sent.ask.account);
        const std::lock_guard lock(own.mutex);
        if (decided) {
            own.wallet.on_grant(sent.ask, std::min(grant->granted(), sent.ask.wanted),
                                std::chrono::milliseconds{grant->retry_after_ms()}, stable_hash(sent.home));
        } else {
            own.wallet.on_failure(sent.ask);
        }
    }
    if (sent.ask.wanted > 0) {
        const bool granted = decided && grant->granted() > 0;
        metrics_.count_quota_ask(granted ? "granted" : (decided ? "limited" : "home_unreachable"));
    }
    decide_waiting(sent.ask.account);
}

void quota_service::decide_waiting(const std::string& account) {
    stripe& own = stripe_of(account);
    bool must_ask = false;
    {
        const std::lock_guard lock(own.mutex);
        const auto found = own.waiting.find(account);
        if (found == own.waiting.end()) {
            return;
        }
        std::erase_if(found->second, [&](const std::shared_ptr<waiter>& request) {
            const quota_take taken = own.wallet.take_again(account);
            if (taken.result == quota_take::outcome::undecided) {
                return false;
            }
            request->result = taken;
            boost::asio::post(request->timer.get_executor(), [request] { request->timer.cancel(); });
            return true;
        });
        if (found->second.empty()) {
            own.waiting.erase(found);
        } else {
            // Requests that arrived while the home was being asked.
            must_ask = own.wallet.begin_ask(account);
        }
    }
    if (must_ask) {
        post_ask(account);
    }
}

void quota_service::on_members(quota_members members) {
    view_.on_members(std::move(members));
    update_members();
}

void quota_service::update_members() {
    const std::size_t possible = view_.is_settled() ? view_.possible_members() : 0;
    for (const auto& own : stripes_) {
        const std::lock_guard lock(own->mutex);
        own->wallet.set_possible_members(possible);
    }
}

void quota_service::on_tick() {
    update_members();
    return_tokens();
    if (++ticks_ % bank_tick_interval == 0) {
        bank_.on_tick();
    }
}

void quota_service::return_tokens() {
    for (const auto& own : stripes_) {
        std::vector<quota_return> returns;
        {
            const std::lock_guard lock(own->mutex);
            returns = own->wallet.on_tick();
        }
        for (const quota_return& unused : returns) {
            outgoing_quota_request message;
            message.home = view_.home_of(unused.account);
            message.request.set_account(unused.account);
            message.request.set_returned(unused.tokens);
            *message.request.mutable_from() = to_wire(self_);
            // Another home never granted these tokens.
            if (stable_hash(message.home) != unused.home) {
                continue;
            }
            if (message.home == self_.name) {
                (void)on_request(message.request);
            } else {
                send_(std::move(message));
            }
        }
    }
}

}  // namespace teaselpitch
