#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// One record of a keyed topic. An empty value says that the key was dropped.
struct keyed_record {
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// Records of a keyed topic.
struct keyed_records {
    std::vector<keyed_record> records;
    std::uint64_t end = 0;  ///< Offset behind the last record of the topic, as the store saw it.
};

/// A store of topics with keyed records, which keeps the newest record of each key.
class keyed_store {
public:
    virtual ~keyed_store() = default;

    /// The newest record of each key. The answer may be older than what read() returns.
    virtual awaitable<absl::StatusOr<keyed_records>> read_newest(std::string topic) = 0;

    /// The records from an offset on; waits for the first one. OUT_OF_RANGE when they have been dropped.
    virtual awaitable<absl::StatusOr<keyed_records>> read_from(std::string topic, std::uint64_t offset,
                                                               std::chrono::milliseconds wait) = 0;

    /// Appends a record. After any failure but FAILED_PRECONDITION the record may have been stored.
    virtual awaitable<absl::Status> put(std::string topic, std::string key, std::string value) = 0;

protected:
    keyed_store() = default;
    keyed_store(const keyed_store&) = default;
    keyed_store& operator=(const keyed_store&) = default;
};

}  // namespace teaselpitch
