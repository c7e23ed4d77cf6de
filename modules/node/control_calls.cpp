// Implements the functions of control_plane for control calls from and to other nodes.

#include <utility>

#include "core/event_log.h"
#include "modules/node/control_plane.h"

namespace teaselpitch {
namespace {

constexpr std::string_view digest_method = "digest";
constexpr std::string_view verdict_method = "verdict";
constexpr std::string_view limit_method = "limit";
constexpr std::string_view quota_method = "quota";
constexpr std::string_view promise_method = "promise";
constexpr std::string_view hand_over_method = "hand_over";

// A request waits for this call, so an unreachable home must be noticed soon.
constexpr std::chrono::milliseconds quota_timeout{300};

}  // namespace

awaitable<absl::StatusOr<std::string>> control_plane::handle_call(std::string method, std::string payload) {
    if (method == fleet_membership::groups_method || method == fleet_membership::facts_method) {
        co_return fleet_.answer_sync(method, payload);
    }
    if (method == digest_method) {
        co_return health_.handle_digest(payload);
    }
    if (method == table_method) {
        co_return answer_table(payload);
    }
    if (method == verdict_method) {
        wire::VerdictFact fact;
        if (fact.ParseFromString(payload)) {
            apply_verdict(fact);
            co_return std::string();
        }
    } else if (method == limit_method) {
        wire::LimitReport report;
        if (report.ParseFromString(payload)) {
            co_return context_.accounts.on_report(report).SerializeAsString();
        }
    } else if (method == quota_method) {
        wire::QuotaRequest request;
        if (request.ParseFromString(payload)) {
            co_return context_.quotas.on_request(request).SerializeAsString();
        }
    } else if (method == promise_method) {
        wire::PromiseRequest request;
        if (request.ParseFromString(payload)) {
            co_return claims_.on_promise_request(request).SerializeAsString();
        }
    } else if (method == hand_over_method) {
        wire::HandOver message;
        if (message.ParseFromString(payload)) {
            const absl::Status accepted = claims_.on_hand_over(message);
            co_return accepted.ok() ? absl::StatusOr<std::string>(std::string()) : accepted;
        }
    } else {
        co_return absl::UnimplementedError("unknown control method \"" + method + "\"");
    }
    co_return absl::InvalidArgumentError("the payload of \"" + method + "\" is malformed");
}

awaitable<void> control_plane::send_digest(outgoing_digest message) {
    std::string payload = message.digest.SerializeAsString();
    const auto answer = co_await peers_.call(message.peer, digest_method, std::move(payload), call_timeout);
    wire::ServiceDigest digest;
    if (answer.ok() && digest.ParseFromString(*answer)) {
        health_.apply_digest(digest);
    }
}

awaitable<void> control_plane::send_limit_report(outgoing_limit_report message) {
    const std::optional<endpoint> peer = peer_of(message.home);
    if (!peer) {
        co_return;
    }
    std::string payload = message.report.SerializeAsString();
    const auto answer = co_await peers_.call(*peer, limit_method, std::move(payload), call_timeout);
    wire::LimitGrant grant;
    if (answer.ok() && grant.ParseFromString(*answer)) {
        context_.accounts.on_grant(grant);
    }
}

awaitable<void> control_plane::send_quota_request(outgoing_quota_request message) {
    const std::optional<endpoint> peer = peer_of(message.home);
    std::optional<wire::QuotaGrant> grant;
    if (peer) {
        std::string payload = message.request.SerializeAsString();
        const auto answer = co_await peers_.call(*peer, quota_method, std::move(payload), quota_timeout);
        wire::QuotaGrant parsed;
        if (answer.ok() && parsed.ParseFromString(*answer)) {
            grant = parsed;
        }
    }
    // Nobody waits for the answer to a message that only returns tokens.
    if (message.request.wanted() > 0) {
        context_.quotas.on_answer(message, grant);
    }
}

awaitable<void> control_plane::send_verdict(endpoint peer, std::string payload) {
    // A lost verdict needs no retry, because it also arrives by gossip and with answers.
    (void)co_await peers_.call(peer, verdict_method, std::move(payload), call_timeout);
}

awaitable<void> control_plane::send_promise_request(wire::PromiseRequest request) {
    const std::optional<endpoint> peer = peer_of(request.candidate().name());
    if (!peer) {
        co_return;
    }
    std::string payload = request.SerializeAsString();
    const auto answer = co_await peers_.call(*peer, promise_method, std::move(payload), call_timeout);
    wire::PromiseReply reply;
    if (answer.ok() && reply.ParseFromString(*answer)) {
        claims_.on_promise_reply(reply);
    }
}

awaitable<void> control_plane::send_hand_over(node_identity successor, wire::HandOver message) {
    const std::optional<endpoint> peer = peer_of(successor.name);
    if (!peer) {
        co_return;
    }
    std::string payload = message.SerializeAsString();
    const auto answer = co_await peers_.call(*peer, hand_over_method, std::move(payload), hand_over_timeout);
    log_event(answer.ok() ? event_level::info : event_level::warning, "hand_over",
              {{"service", message.claims().service()},
               {"slot", message.claims().slot()},
               {"successor", successor.name},
               {"claims", message.claims().claims_size()},
               {"taken", answer.ok()},
               {"reason", answer.ok() ? "" : std::string(answer.status().message())}});
}

std::optional<endpoint> control_plane::peer_of(const std::string& node) const {
    const auto nodes = context_.nodes.read();
    const auto found = nodes->find(node);
    return found == nodes->end() ? std::nullopt : std::optional<endpoint>(found->second.peer);
}

}  // namespace teaselpitch
