#pragma once

#include <cstdint>

namespace teaselpitch::bench {

/// Measures the time in nanoseconds and the memory in bytes of a keyed request, for several numbers of claims
/// that the ledger holds.
void run_ledger();

/// Measures the offers per second on one admission queue with 1 to 8 threads.
void run_admission();

/// Measures the goodput at a multiple of the capacity with the admission queue, with a first-in first-out
/// queue and without a queue.
void run_goodput(double load, std::uint64_t seed);

/// Compares the admitted requests of one account on many nodes with its limit.
void run_limiter(std::uint32_t nodes, std::uint64_t seed);

/// Measures the seconds of refusals by kind for each failure of section 8 of the design page.
void run_outages();

}  // namespace teaselpitch::bench
