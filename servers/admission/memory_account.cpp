#include "servers/admission/memory_account.h"

#include <utility>

namespace teaselpitch {

memory_account::memory_account(memory_budget* budget, const void* owner)
    : budget_(budget), id_(budget == nullptr ? 0 : budget->add_holder(owner)) {}

memory_account::~memory_account() {
    if (budget_ != nullptr) {
        budget_->remove_holder(id_);
    }
}

void memory_account::charge(std::size_t bytes) {
    if (budget_ != nullptr) {
        budget_->charge(id_, bytes);
    }
}

bool memory_account::try_charge(std::size_t bytes, memory_mark mark) {
    return budget_ == nullptr || budget_->try_charge(id_, bytes, mark);
}

void memory_account::release(std::size_t bytes) {
    if (budget_ != nullptr) {
        budget_->release(id_, bytes);
    }
}

void memory_account::note_progress() {
    if (budget_ != nullptr) {
        budget_->note_progress(id_);
    }
}

void memory_account::set_sent(bool sent) {
    if (budget_ != nullptr) {
        budget_->set_sent(id_, sent);
    }
}

memory_mark memory_account::mark() const {
    return budget_ == nullptr ? memory_mark::calm : budget_->mark();
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : account_(other.account_), bytes_(std::exchange(other.bytes_, 0)) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
    if (this != &other) {
        set(0);
        account_ = other.account_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

void memory_charge::set(std::size_t bytes) {
    if (account_ == nullptr) {
        return;
    }
    if (bytes > bytes_) {
        account_->charge(bytes - bytes_);
    } else if (bytes < bytes_) {
        account_->release(bytes_ - bytes);
    }
    bytes_ = bytes;
}

bool memory_charge::try_add(std::size_t bytes, memory_mark mark) {
    if (account_ == nullptr) {
        return true;
    }
    if (!account_->try_charge(bytes, mark)) {
        return false;
    }
    bytes_ += bytes;
    return true;
}

}  // namespace teaselpitch
