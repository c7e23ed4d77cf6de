#pragma once

#include <cstdint>

namespace teaselpitch::bench {

/// Nanoseconds and bytes of a keyed request at several numbers of live claims.
void run_ledger();

/// Offers and releases per second on one queue with 1 to 8 threads.
void run_admission();

/// Goodput at a multiple of the capacity, for the queue, a first-in first-out queue and none.
void run_goodput(double load, std::uint64_t seed);

/// Admitted requests of one account on many nodes against its limit.
void run_limiter(std::uint32_t nodes, std::uint64_t seed);

/// Seconds of refusals by kind for each failure of section 8 of the design page.
void run_outages();

}  // namespace teaselpitch::bench
