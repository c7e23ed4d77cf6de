#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// The answer of one node's admin listener, or why there is none.
struct node_answer {
    std::string address;
    absl::StatusOr<boost::json::object> body;
};

/// Asks one node for a JSON object.
node_answer ask_node(const std::string& address, const std::string& path);

/// Addresses of the admin listeners of all nodes that the given ones know as alive, the given ones included.
std::vector<std::string> find_nodes(const ctl_context& context);

/// Asks every node that the given ones know, one after the other.
std::vector<node_answer> ask_all_nodes(const ctl_context& context, const std::string& path);

/// Prints the nodes that did not answer, with their reasons. Returns how many there are.
std::size_t report_missing(const ctl_context& context, const std::vector<node_answer>& answers);

/// Escapes a text for a query string.
std::string query_escape(std::string_view text);

}  // namespace teaselpitch
