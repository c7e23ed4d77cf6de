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
#include "modules/proxy/held_answer.h"
#include "modules/proxy/replayable_body.h"
#include "servers/exchange/exchange.h"
#include "servers/routing/target_search.h"

namespace teaselpitch {

/// Where an attempt goes.
struct route_choice {
    target_identity target;            ///< Empty for a keyed request; its holder chooses.
    std::string node;                  ///< Name of the node whose gate guards the target.
    bool local = false;                ///< The gate is in this process.
    endpoint peer;                     ///< Peer listener of the node.
    std::string reason;                ///< Which rule chose it, for explain.
    std::shared_ptr<const void> hold;  ///< Keeps the request counted at the target until the attempt ends.
    bool suspect =
        false;  ///< No better target is left, so that the gate should not refuse the request for that.
};

/// What routing says about a request.
struct route_decision {
    std::string service;
    bool non_idempotent = false;
    std::chrono::milliseconds timeout{};
    std::uint32_t attempts = 3;              ///< Targets that the request may be sent to.
    std::chrono::milliseconds objective{0};  ///< Latency above which the answer is late; 0 for none.
    std::uint32_t rank = 0;                  ///< Requests with a lower rank go first.
    std::uint64_t work_class = 0;            ///< Hash of the route.
    double inherited_repeat = 0;  ///< Chance that a repeated run on this instance called for the request.
};

/// A failed choice or admission.
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

/// How one attempt ended.
struct attempt_report {
    const request_head& head;
    const route_choice& choice;
    const exchange_result& result;
    std::uint32_t attempt;  ///< 1 for the first.
    std::chrono::nanoseconds latency;
};

/// How the exchange with the caller ended.
struct ingress_report {
    const request_head& head;
    const exchange_result& result;
    unsigned http_status;
    std::span<const std::string> attempts;  ///< One line for each attempt.
    std::chrono::nanoseconds latency;
};

/// Decisions that the ingress asks for. All run on the shard of the exchange and do not block.
struct ingress_hooks {
    /// Empty when the node can route; otherwise the refusal of every request. Null when it always can.
    std::function<refusal()> check_ready = nullptr;
    /// The time by which a stopping node must have answered; empty while it runs. Null when it never stops.
    std::function<std::optional<steady_time>()> answer_by = nullptr;
    std::function<std::optional<route_decision>(const request_head&)> find_route;
    std::function<refusal(const request_head&)> admit;  ///< Account limits, quarantine, draining.
    std::function<choice_or_refusal<route_choice>(const request_head&, std::span<const std::string> tried)>
        choose;
    std::function<awaitable<exchange_result>(const route_choice&, const request_head&, body_reader&,
                                             response_writer&)>
        dispatch;
    /// Decides about another attempt after a failed one; the ingress has checked that the body can be
    /// replayed.
    std::function<bool(const request_head&, const exchange_result&, std::uint32_t attempts)> may_retry;
    std::function<void(const attempt_report&)> attempt_ended;
    std::function<void(const ingress_report&)> exchange_ended;
};

struct ingress_options {
    std::chrono::milliseconds default_timeout{10'000};
    std::size_t replay_bytes = 64 * 1024;  ///< Body bytes kept for further attempts and the fingerprint.
    std::size_t held_bytes = 0;  ///< Longest answer that is held until it is whole; 0 streams all answers.
    /// Gates that are asked for a free slot before the request queues at one; 0 queues at the first.
    std::uint32_t free_slot_hops = 0;
    std::uint32_t max_hops = 8;  ///< Gates that are asked in all.
    std::string caller_service;  ///< Service of this instance, for targets; empty for none.
};

/// Takes a caller's request, finds its service, and tries targets until one answers or trying again would
/// be unsafe, late or over the retry budget.
class ingress final : public exchange_handler {
public:
    ingress(const time_source& clock, ingress_options options, ingress_hooks hooks);

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

private:
    struct progress {
        target_search search;
        std::vector<std::string> attempts{};  ///< One line for each attempt.
        std::uint32_t sends = 0;              ///< Attempts that ran at a target or may have.
        std::uint32_t allowed_sends = 3;
        bool reached_target = false;  ///< A target got the request, if only to refuse it.
    };

    awaitable<exchange_result> serve(request_head& head, replayable_body& body, held_answer& answer,
                                     progress& state);
    awaitable<exchange_result> attempt_all(request_head& head, replayable_body& body, held_answer& answer,
                                           progress& state);
    awaitable<exchange_result> attempt_one(const route_choice& choice, const request_head& head,
                                           replayable_body& body, held_answer& answer, progress& state);
    void limit_deadline(request_head& head) const;
    awaitable<exchange_result> deliver(held_answer& answer, exchange_result result);
    [[nodiscard]] bool may_try_again(const request_head& head, const exchange_result& result,
                                     const replayable_body& body, const held_answer& answer,
                                     const progress& state) const;

    const time_source& clock_;
    const ingress_options options_;
    const ingress_hooks hooks_;
};

/// Hash of service, method, path, account and the first bytes of the body.
std::uint64_t request_fingerprint(const request_head& head, std::span<const std::byte> body_prefix);

}  // namespace teaselpitch
