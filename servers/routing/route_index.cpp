#include "servers/routing/route_index.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/ascii.h"

namespace teaselpitch {
namespace {

constexpr std::size_t max_host_bytes = 255;  // Octets of a DNS name.

std::string_view strip_query(std::string_view path) {
    return path.substr(0, path.find_first_of("?#"));
}

// Returns the next shorter prefix that ends at a segment boundary: "/a/b" becomes "/a/", and "/a/" becomes
// "/a".
std::string_view parent_prefix(std::string_view prefix) {
    if (prefix.ends_with('/')) {
        return prefix.substr(0, prefix.size() - 1);
    }
    return prefix.substr(0, prefix.rfind('/') + 1);
}

}  // namespace

bool is_non_idempotent(idempotency_rule rule, std::string_view method) {
    if (rule == idempotency_rule::automatic) {
        return method == "POST" || method == "PATCH";
    }
    return rule == idempotency_rule::non_idempotent;
}

route_index::route_index(std::span<const route_entry> routes) {
    routes_.reserve(routes.size());
    for (const route_entry& route : routes) {
        host_routes& host = hosts_[absl::AsciiStrToLower(route.host)];
        host.longest_prefix = std::max(host.longest_prefix, route.path_prefix.size());
        const auto position = static_cast<std::uint32_t>(routes_.size());
        if (host.by_prefix.emplace(route.path_prefix, position).second) {
            routes_.push_back(route);
        }
    }
}

std::optional<route_match> route_index::find(std::string_view host, std::string_view path,
                                             std::string_view method) const {
    path = strip_query(path);
    const route_entry* found = nullptr;
    if (host.size() <= max_host_bytes) {
        std::array<char, max_host_bytes> lower{};
        std::transform(host.begin(), host.end(), lower.begin(), absl::ascii_tolower);
        found = find_in_host({lower.data(), host.size()}, path);
    }
    if (found == nullptr) {
        found = find_in_host("*", path);
    }
    if (found == nullptr) {
        return std::nullopt;
    }
    return route_match{.service = found->service,
                       .path_prefix = found->path_prefix,
                       .non_idempotent = is_non_idempotent(found->rule, method),
                       .timeout = found->timeout,
                       .attempts = found->attempts,
                       .objective = found->objective,
                       .priority = found->priority,
                       .split = found->split,
                       .is_public = found->is_public};
}

const route_entry* route_index::find_in_host(std::string_view host, std::string_view path) const {
    const auto routes = hosts_.find(host);
    if (routes == hosts_.end() || !path.starts_with('/')) {
        return nullptr;
    }
    const host_routes& candidates = routes->second;
    // Starting at the longest registered prefix bounds the work for paths with thousands of segments.
    std::string_view prefix = path;
    if (prefix.size() > candidates.longest_prefix) {
        const bool segment_continues = prefix[candidates.longest_prefix] != '/';
        prefix = prefix.substr(0, candidates.longest_prefix);
        prefix = segment_continues && !prefix.ends_with('/') ? parent_prefix(prefix) : prefix;
    }
    while (true) {
        const auto found = candidates.by_prefix.find(prefix);
        if (found != candidates.by_prefix.end()) {
            return &routes_[found->second];
        }
        if (prefix.empty()) {
            return nullptr;
        }
        prefix = parent_prefix(prefix);
    }
}

}  // namespace teaselpitch
