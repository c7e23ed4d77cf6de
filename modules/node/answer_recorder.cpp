#include "modules/node/answer_recorder.h"

namespace teaselpitch {

awaitable<absl::Status> answer_recorder::write_head(const response_head& head) {
    answer_ = stored_answer{head, {}};
    return inner_.write_head(head);
}

awaitable<absl::Status> answer_recorder::write_body(std::span<const std::byte> data) {
    if (answer_ && answer_->body.size() + data.size() <= max_bytes_) {
        answer_->body.append(reinterpret_cast<const char*>(data.data()), data.size());
    } else {
        answer_.reset();
    }
    return inner_.write_body(data);
}

}  // namespace teaselpitch
