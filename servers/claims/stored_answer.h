#pragma once

#include <string>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// A complete answer of a target, stored to be replayed when its key is sent again.
struct stored_answer {
    response_head head;
    std::string body;
};

}  // namespace teaselpitch
