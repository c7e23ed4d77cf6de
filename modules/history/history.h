#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/error_kind.h"

namespace teaselpitch {

/// Time of a record in microseconds of the machine's monotonic clock. Records of all processes on one machine
/// are therefore comparable.
using history_time = std::int64_t;

/// One send of a request by a caller, with the answer that the caller received.
struct call_record {
    std::string call_id;          ///< Unique for each send.
    std::string idempotency_key;  ///< Empty if there is none; the same for all sends of one request.
    std::string service;
    bool non_idempotent = false;
    history_time start = 0;
    history_time end = 0;
    unsigned status = 0;  ///< 0 if the caller received no complete head.
    bool whole = false;   ///< The answer was complete according to HTTP framing.
    execution_state execution = execution_state::unknown;  ///< Execution state that the answer reported.
    std::string error;                                     ///< Value of Teaselpitch-Error.
    std::string answer_for;                                ///< Call id that the answer echoes.
    std::string answer_key;                                ///< Idempotency key that the answer echoes.
    bool body_matches = false;                             ///< The body of the answer is the expected one.
};

/// One execution of a request at a target.
struct execution_record {
    std::string call_id;
    std::string idempotency_key;
    std::string target;
    history_time start = 0;
    history_time end = 0;  ///< 0 while the execution is in progress.
    bool completed = false;
};

/// A node's report of the table version that it serves.
struct version_record {
    std::string node;  ///< Name and incarnation of the node.
    std::uint64_t version = 0;
    history_time when = 0;
};

/// An edit that was confirmed to the operator as accepted.
struct accepted_edit_record {
    std::uint64_t version = 0;
    history_time when = 0;
};

/// A request to a target or node to leave gracefully.
struct leave_record {
    std::string name;
    history_time announced = 0;
    history_time stopped = 0;  ///< 0 while the process is running.
};

/// The capacity of one service as a node reported it.
struct capacity_record {
    std::string node;
    std::string service;
    history_time when = 0;
    double in_service = 0;  ///< Capacity that receives full traffic: slots times weight.
    double ejected = 0;     ///< Capacity that the node ejected.
    double floor = 0;       ///< Minimum capacity that ejection must leave in service.
};

/// All records of one concurrent run.
struct history {
    std::vector<call_record> calls;
    std::vector<execution_record> executions;
    std::vector<version_record> versions;
    std::vector<accepted_edit_record> accepted_edits;
    std::vector<leave_record> leaves;
    std::vector<capacity_record> capacities;
    /// Names of processes that were killed instead of stopped gracefully; their requests in flight may fail.
    std::vector<std::string> killed;
};

/// Writes one JSON object per line.
void write_history(std::ostream& out, const history& value);

/// Reads the format of write_history. The error message contains the number of the invalid line.
absl::StatusOr<history> read_history(std::istream& in);

}  // namespace teaselpitch
