#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// The JSON response of a node's admin listener, or the error of the request.
struct node_answer {
    std::string address;
    absl::StatusOr<boost::json::object> body;
};

/// Requests a JSON object from one node.
node_answer query_node(const std::string& address, const std::string& path);

/// Returns the admin addresses given with --node and those of all members that the first responding node
/// reports as alive.
std::vector<std::string> discover_node_addresses(const ctl_context& context);

/// Requests a JSON object from every discovered node, one after the other.
std::vector<node_answer> query_all_nodes(const ctl_context& context, const std::string& path);

/// Prints the nodes that did not answer and the reasons. Returns the number of these nodes.
std::size_t report_unreachable_nodes(const ctl_context& context, const std::vector<node_answer>& answers);

/// Percent-encodes a text for use in a URL query string.
std::string percent_encode(std::string_view text);

}  // namespace teaselpitch
