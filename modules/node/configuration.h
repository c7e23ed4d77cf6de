#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "servers/admission/account_directory.h"
#include "servers/exchange/caller_limits.h"
#include "servers/table/table.h"

namespace teaselpitch {

/// One version of the operator's configuration, together with the document that it was decoded from.
struct configuration {
    std::uint64_t version = 0;
    std::shared_ptr<const table> rows;
    caller_limits limits;
    /// Never null; empty when requests need no key.
    std::shared_ptr<const account_directory> accounts = std::make_shared<const account_directory>();
    std::string document;  ///< As it is stored; nodes forward it to each other unchanged.
};

/// Decodes a document; an error describes what is invalid in it.
using configuration_decoder = std::function<absl::StatusOr<configuration>(std::string_view document)>;

/// Location and decoder of the operator's documents on the store.
struct configuration_source {
    std::string topic;
    std::string key;
    configuration_decoder decode;
};

}  // namespace teaselpitch
