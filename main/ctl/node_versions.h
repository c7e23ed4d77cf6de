#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace teaselpitch {

/// Table versions in effect on the nodes, merged from the status reports of several nodes.
class node_versions {
public:
    struct node {
        std::string zone;
        std::string admin;  ///< ADDRESS:PORT; empty when unknown.
        std::uint64_t version = 0;
        bool live = false;
    };

    // Queries.

    /// Returns the names of live nodes whose reported version is older than `version`.
    [[nodiscard]] std::vector<std::string> nodes_below_version(std::uint64_t version) const;
    [[nodiscard]] std::size_t live_count() const;
    [[nodiscard]] const std::map<std::string, node>& all() const { return nodes_; }

    // Commands.

    /// Marks all nodes as not live before a new polling round. Reported versions stay because they never
    /// decrease.
    void reset_liveness();

    /// Merges the JSON from the /v1/status path of one node. A member counts as live unless every report that
    /// lists it has it as dead or left: a suspected member may still serve requests.
    absl::Status merge_status(std::string_view status_json);

private:
    std::map<std::string, node> nodes_;
};

}  // namespace teaselpitch
