#include "core/rcu_cell.h"

#include <urcu/urcu-bp.h>

namespace teaselpitch::rcu {

// The "bp" (bulletproof) flavor registers reader threads on first use, so shards need no registration call.
void read_lock() {
    urcu_bp_read_lock();
}

void read_unlock() {
    urcu_bp_read_unlock();
}

void synchronize() {
    urcu_bp_synchronize_rcu();
}

void* load(void* const* pointer) {
    return rcu_dereference(*pointer);
}

void* exchange(void** pointer, void* value) {
    return rcu_xchg_pointer(pointer, value);
}

}  // namespace teaselpitch::rcu
