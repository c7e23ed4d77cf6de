#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "servers/exchange/caller_limits.h"
#include "servers/table/table.h"

namespace teaselpitch {

/// One version of what the operator wants, with the document that it was read from.
struct configuration {
    std::uint64_t version = 0;
    std::shared_ptr<const table> rows;
    caller_limits limits;
    std::string document;  ///< As the store has it; nodes pass it on unchanged.
};

/// Reads a document; an error says what is wrong with it.
using configuration_decoder = std::function<absl::StatusOr<configuration>(std::string_view document)>;

/// Where a node finds the operator's documents.
struct configuration_source {
    std::string topic;
    std::string key;
    configuration_decoder decode;
};

}  // namespace teaselpitch
