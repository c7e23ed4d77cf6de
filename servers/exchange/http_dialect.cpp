#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

unsigned http_status_of(const http_dialect& dialect, error_kind kind) {
    for (const auto& [overridden_kind, status] : dialect.status_overrides) {
        if (overridden_kind == kind) {
            return status;
        }
    }
    return answer_of(kind).http_status;
}

}  // namespace teaselpitch
