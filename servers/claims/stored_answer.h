#pragma once

#include <string>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// A whole answer of a target, kept for re-sends of its key.
struct stored_answer {
    response_head head;
    std::string body;
};

}  // namespace teaselpitch
