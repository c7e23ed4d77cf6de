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

/// Times of a history are microseconds of the machine's monotonic clock, so that the records of all
/// processes of one machine can be compared.
using history_time = std::int64_t;

/// One send of a request by a caller, with the answer that it saw.
struct call_record {
    std::string call_id;          ///< Unique for each send.
    std::string idempotency_key;  ///< Empty without a key; equal for the sends of one request.
    std::string service;
    bool non_idempotent = false;
    history_time start = 0;
    history_time end = 0;
    unsigned status = 0;                                   ///< 0 when the caller saw no whole head.
    bool whole = false;                                    ///< The answer ended as HTTP says that it must.
    execution_state execution = execution_state::unknown;  ///< What the caller was told.
    std::string error;                                     ///< Value of Teaselpitch-Error.
    std::string answer_for;                                ///< Call id that the answer echoes.
    std::string answer_key;                                ///< Idempotency key that the answer echoes.
    bool body_matches = false;  ///< The answer's body is the one that the request asks for.
};

/// One run of a request at a target.
struct execution_record {
    std::string call_id;
    std::string idempotency_key;
    std::string target;
    history_time start = 0;
    history_time end = 0;  ///< 0 while it runs.
    bool completed = false;
};

/// A node's report that it serves a version.
struct version_record {
    std::string node;  ///< Name and incarnation.
    std::uint64_t version = 0;
    history_time when = 0;
};

/// An edit that an operator was told is accepted.
struct accepted_edit_record {
    std::uint64_t version = 0;
    history_time when = 0;
};

/// A target or a node was told to stop gracefully.
struct leave_record {
    std::string name;
    history_time announced = 0;
    history_time stopped = 0;  ///< 0 while it is still running.
};

/// A node's view of the capacity of one service.
struct capacity_record {
    std::string node;
    std::string service;
    history_time when = 0;
    double in_service = 0;  ///< Capacity that takes full work, slots times weight.
    double ejected = 0;     ///< Capacity that this node ejected.
    double floor = 0;       ///< Capacity that ejection must leave.
};

/// Everything that one concurrent run recorded.
struct history {
    std::vector<call_record> calls;
    std::vector<execution_record> executions;
    std::vector<version_record> versions;
    std::vector<accepted_edit_record> accepted_edits;
    std::vector<leave_record> leaves;
    std::vector<capacity_record> capacities;
    /// Names of processes that were killed, not stopped; their requests in flight may break.
    std::vector<std::string> killed;
};

/// Writes one JSON object a line.
void write_history(std::ostream& out, const history& value);

/// Reads what write_history wrote. An error names the line.
absl::StatusOr<history> read_history(std::istream& in);

}  // namespace teaselpitch
