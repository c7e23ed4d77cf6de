#pragma once

#include <cstddef>

#include "core/wire/claims.pb.h"
#include "servers/claims/stored_answer.h"

namespace teaselpitch {

/// Returns an estimate of the memory that a stored answer occupies, in bytes.
std::size_t estimate_answer_bytes(const stored_answer& answer);

wire::StoredAnswer to_wire(const stored_answer& answer);
stored_answer from_wire(const wire::StoredAnswer& message);

}  // namespace teaselpitch
