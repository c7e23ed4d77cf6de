#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

unsigned http_status_of(const http_dialect& dialect, error_kind kind) {
    for (const auto& [overridden_kind, status] : dialect.status_overrides) {
        if (overridden_kind == kind) {
            return status;
        }
    }
    return get_error_answer(kind).http_status;
}

}  // namespace teaselpitch
