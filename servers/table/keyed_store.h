#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// One record of a keyed topic. An empty value marks the key as removed.
struct keyed_record {
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// Result of reading a keyed topic.
struct keyed_records {
    std::vector<keyed_record> records;
    std::uint64_t end = 0;  ///< Offset after the last record of the topic when the store answered.
};

/// Interface of a store of topics with keyed records. The store retains the newest record of each key.
class keyed_store {
public:
    virtual ~keyed_store() = default;

    /// Reads the newest record of each key. The answer may be older than that of read_from().
    virtual awaitable<absl::StatusOr<keyed_records>> read_newest(std::string topic) = 0;

    /// Reads the records starting at an offset; waits for the first one. OUT_OF_RANGE: the records have been
    /// removed.
    virtual awaitable<absl::StatusOr<keyed_records>> read_from(std::string topic, std::uint64_t offset,
                                                               std::chrono::milliseconds wait) = 0;

    /// Appends a record. After any error except FAILED_PRECONDITION the record may have been stored.
    virtual awaitable<absl::Status> put(std::string topic, std::string key, std::string value) = 0;

    /// Latest generation of the store that an answer named. It rises when the store was restored from an
    /// older copy: offsets are then assigned again, and records written since the copy are gone. 0 when the
    /// store names none.
    [[nodiscard]] virtual std::uint64_t era() const { return 0; }

protected:
    keyed_store() = default;
    keyed_store(const keyed_store&) = default;
    keyed_store& operator=(const keyed_store&) = default;
};

}  // namespace teaselpitch
