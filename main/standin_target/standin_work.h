#pragma once

#include <optional>
#include <string>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

class standin_target;

/// Handles the requests on one group of connections of a stand-in target.
class standin_work final : public exchange_handler {
public:
    explicit standin_work(standin_target& target) : target_(target) {}

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override;

    /// When true, no request on these connections is answered.
    bool unresponsive = false;

private:
    struct request;

    awaitable<exchange_result> handle_control_request(request& work);
    awaitable<exchange_result> handle_work_request(request& work);
    awaitable<exchange_result> run_work(request& work);
    awaitable<void> wait(std::chrono::nanoseconds time);
    awaitable<exchange_result> write_answer(request& work);

    standin_target& target_;
};

}  // namespace teaselpitch
