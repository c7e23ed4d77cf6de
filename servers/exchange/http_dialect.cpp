#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

unsigned http_status_of(const http_dialect& dialect, error_kind kind) {
    for (const auto& [changed, status] : dialect.statuses) {
        if (changed == kind) {
            return status;
        }
    }
    return get_error_answer(kind).http_status;
}

}  // namespace teaselpitch
