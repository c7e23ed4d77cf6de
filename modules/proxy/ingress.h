#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "modules/proxy/buffered_answer.h"
#include "modules/proxy/replayable_body.h"
#include "servers/admission/account_quota.h"
#include "servers/exchange/exchange.h"
#include "servers/routing/target_search.h"

namespace teaselpitch {

/// Destination of an attempt.
struct route_choice {
    target_identity target;  ///< Empty for a keyed request, whose holder chooses the target.
    std::string node;        ///< Name of the node whose gate guards the target.
    bool local = false;      ///< True when the gate is in this process.
    endpoint peer;           ///< Peer listener of the node.
    std::string reason;      ///< Rule that chose the destination, shown by /v1/explain.
    std::shared_ptr<const void>
        in_flight_guard;   ///< Keeps the request counted at the target until the attempt ends.
    bool suspect = false;  ///< The target is suspect, but no better one is left, so the gate must not refuse
                           ///< the request for that.
    /// Expected time until the request is complete; empty without a choice by completion.
    std::optional<double> expected_ms{};
};

/// Routing parameters of a request.
struct route_decision {
    std::string service;
    bool non_idempotent = false;
    std::chrono::milliseconds timeout{};
    std::uint32_t attempts = 3;              ///< Maximum number of targets that the request may be sent to.
    std::chrono::milliseconds objective{0};  ///< Latency above which the answer is late; 0 for none.
    std::uint32_t rank = 0;                  ///< Requests with a lower rank are admitted first.
    std::uint64_t work_class = 0;            ///< Hash of the route.
    bool is_public = false;                  ///< Requests need no key of a client account.
    double inherited_retry = 0;  ///< Probability that a retry that runs on this instance caused the request.
};

/// Reason why a request was not routed or admitted.
struct refusal {
    error_kind error = error_kind::none;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
};

template <typename T>
struct choice_or_refusal {
    std::optional<T> choice;
    refusal refused;
};

/// Result of the check of an account's quota.
struct quota_admission {
    refusal refused;
    steady_time token_expires_at{};  ///< Of the token that the request holds; passed to return_token().
};

/// Result of one attempt.
struct attempt_report {
    const request_head& head;
    const route_choice& choice;
    const exchange_result& result;
    std::uint32_t attempt;  ///< Number of the attempt, from 1.
    std::chrono::nanoseconds latency;
};

/// Result of the exchange with the caller.
struct ingress_report {
    const request_head& head;
    const exchange_result& result;
    unsigned http_status;
    std::span<const std::string> attempts;  ///< Description of each attempt.
    std::chrono::nanoseconds latency;
};

/// Callbacks of the ingress into the node. All of them run on the shard of the exchange and must not block.
struct ingress_hooks {
    /// Returns no error when the node can route requests, otherwise the refusal of every request. Null when
    /// the node is always ready.
    std::function<refusal()> check_ready = nullptr;
    /// Returns the time by which a stopping node must have answered; empty while it is not stopping. Null
    /// when it never stops.
    std::function<std::optional<steady_time>()> answer_deadline = nullptr;
    std::function<std::optional<route_decision>(const request_head&)> find_route;
    /// Sets account, rank and header fields of a routed request by the key in `received`, which is the
    /// request as the caller sent it, or returns its refusal. Runs before anything else of the request is
    /// used, and again before each attempt, because a later configuration may have withdrawn the key. Null
    /// when requests need no key.
    std::function<refusal(const request_head& received, const route_decision&, request_head&)> check_account =
        nullptr;
    /// Returns the refusal of a request, whose deadline is known, that a stopping node can't finish. Null
    /// when the node never stops.
    std::function<refusal(const request_head&)> admit_while_stopping = nullptr;
    std::function<refusal(const request_head&)> admit;  ///< Checks account limits and the quarantine.
    /// Returns the quota of the request's account. Null when accounts have no quotas.
    std::function<account_quota(const request_head&)> quota_of = nullptr;
    /// Takes a token of the account's quota; called only when the quota is limited.
    std::function<awaitable<quota_admission>(const request_head&, const account_quota&)> admit_account =
        nullptr;
    /// Returns the token of a request that no target ran.
    std::function<void(const request_head&, steady_time token_expires_at)> return_token = nullptr;
    std::function<choice_or_refusal<route_choice>(const request_head&, std::span<const std::string> tried)>
        choose;
    std::function<awaitable<exchange_result>(const route_choice&, const request_head&, body_reader&,
                                             response_writer&)>
        dispatch;
    /// Decides whether a failed attempt may be followed by another one. The ingress has already checked that
    /// the body can be replayed.
    std::function<bool(const request_head&, const exchange_result&, std::uint32_t attempts)> may_retry;
    std::function<void(const attempt_report&)> attempt_ended;
    std::function<void(const ingress_report&)> exchange_ended;
};

struct ingress_options {
    std::chrono::milliseconds default_timeout{10'000};
    std::size_t replay_bytes = 64 * 1024;  ///< Body bytes buffered for further attempts and the fingerprint.
    std::size_t max_buffered_answer_bytes = 0;  ///< Longer answers are streamed; 0 streams all answers.
    /// Number of gates that are tried for a free slot before the request queues at one; 0 queues at the
    /// first.
    std::uint32_t free_slot_hops = 0;
    std::uint32_t max_hops = 8;       ///< Maximum number of gates that are tried.
    memory_budget* memory = nullptr;  ///< Charged with buffered answers; null without a bound.
    std::string caller_service;       ///< Service of this instance, sent to targets; empty for none.
};

/// Routes a caller's request to its service and tries targets until one answers, or until another attempt
/// would be unsafe, too late or over the retry budget.
class ingress final : public exchange_handler {
public:
    ingress(const time_source& clock, ingress_options options, ingress_hooks hooks);

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

private:
    struct exchange_progress {
        const request_head& received;  ///< The request as the caller sent it.
        target_search search;
        route_decision route{};
        std::vector<std::string> attempts{};  ///< Description of each attempt.
        std::uint32_t sends = 0;              ///< Attempts that ran, or may have run, at a target.
        std::uint32_t max_sends = 3;
        bool reached_target = false;  ///< True when a target received the request, even if it refused it.
    };

    awaitable<exchange_result> route_and_attempt(request_head& head, replayable_body& body,
                                                 buffered_answer& answer, exchange_progress& state);
    awaitable<exchange_result> run_within_quota(request_head& head, replayable_body& body,
                                                buffered_answer& answer, exchange_progress& state);
    awaitable<exchange_result> run_attempts(request_head& head, replayable_body& body,
                                            buffered_answer& answer, exchange_progress& state);
    awaitable<exchange_result> run_attempt(const route_choice& choice, const request_head& head,
                                           replayable_body& body, buffered_answer& answer,
                                           exchange_progress& state);
    [[nodiscard]] refusal check_account(const exchange_progress& state, request_head& head) const;
    void cap_deadline_at_shutdown(request_head& head) const;
    awaitable<exchange_result> deliver(buffered_answer& answer, exchange_result result);
    [[nodiscard]] bool may_attempt_again(const request_head& head, const exchange_result& result,
                                         const replayable_body& body, const buffered_answer& answer,
                                         const exchange_progress& state) const;

    const time_source& clock_;
    const ingress_options options_;
    const ingress_hooks hooks_;
};

/// Returns a hash of service, method, path, account and the first bytes of the body.
std::uint64_t request_fingerprint(const request_head& head, std::span<const std::byte> body_prefix);

}  // namespace teaselpitch
