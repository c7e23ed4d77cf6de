#pragma once

#include <cstddef>

namespace teaselpitch {

/// Returns the number of allocations of the calling thread so far in this test program.
std::size_t allocation_count();

}  // namespace teaselpitch
