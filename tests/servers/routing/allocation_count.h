#pragma once

#include <cstddef>

namespace teaselpitch {

/// Number of allocations of the calling thread in this test program.
std::size_t allocation_count();

}  // namespace teaselpitch
