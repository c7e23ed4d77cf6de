#pragma once

#include <cstddef>

#include "core/wire/claims.pb.h"
#include "servers/claims/stored_answer.h"

namespace teaselpitch {

/// Estimate of the memory of a stored answer in bytes.
std::size_t answer_bytes(const stored_answer& answer);

wire::StoredAnswer to_wire(const stored_answer& answer);
stored_answer from_wire(const wire::StoredAnswer& message);

}  // namespace teaselpitch
