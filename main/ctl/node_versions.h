#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace teaselpitch {

/// What is known of the versions that live nodes serve, merged from the status of several nodes.
class node_versions {
public:
    struct node {
        std::string zone;
        std::string admin;  ///< ADDRESS:PORT; empty when unknown.
        std::uint64_t version = 0;
        bool live = false;
    };

    // Queries.

    /// Names of live nodes that have not reported the version.
    [[nodiscard]] std::vector<std::string> missing(std::uint64_t version) const;
    [[nodiscard]] std::size_t live_count() const;
    [[nodiscard]] const std::map<std::string, node>& all() const { return nodes_; }

    // Commands.

    /// Forgets who is live, but not the versions that nodes reported: these never go back.
    void start_round();

    /// Merges the JSON of one node's /v1/status. A member counts as live unless each view that names it
    /// calls it dead or left; a suspected one may still serve requests.
    absl::Status merge(std::string_view status_json);

private:
    std::map<std::string, node> nodes_;
};

}  // namespace teaselpitch
