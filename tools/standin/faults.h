#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace quincefall::standin {

/// Faults that a stand-in injects, set through /admin/faults. docs/PLATFORM.md describes each.
struct fault_set
{
    bool down = false; ///< Requests are answered with 503.
    bool refuse = false; ///< Connections are reset instead of answered.
    bool silent = false; ///< Nothing is sent on any connection.
    bool silentOpen = false; ///< Nothing is sent on connections open when it was set.
    milliseconds delay{0}; ///< Time before each request is handled.
    std::int64_t loseAnswers = 0; ///< Number of POST requests still to lose their response.
    std::string losePath; ///< loseAnswers applies only to paths with this prefix.

    std::optional<std::int64_t> retention; ///< Number of records kept in each stream of the log.

    std::optional<milliseconds> tokenDelay;
    std::optional<milliseconds> firstTokenDelay;
    std::optional<std::int64_t> stallAfter; ///< Number of tokens after which a stream stalls.
    std::optional<std::int64_t> cutAfter; ///< Number of tokens after which a stream is cut.
    std::int64_t crossFrames = 0; ///< Every n-th event follows one with a wrong request id. 0: off.
    std::int64_t duplicateFrames = 0; ///< Every n-th event of a stream is sent twice. 0: off.
    bool ignoreFencing = false; ///< Orders with an outdated fencing number are accepted.
    std::int64_t eventGap = 0; ///< Every n-th cache event is left out. 0: off.
    milliseconds reportLag{0}; ///< Age of the load that an engine reports.

    milliseconds runDelay{0}; ///< Time that each run of a service takes.
};

/// Parses faults from JSON. Fails with malformedRequest if a field is unknown, negative or of the
/// wrong type.
result<fault_set> parseFaults(const boost::json::object &object);

} // namespace quincefall::standin
