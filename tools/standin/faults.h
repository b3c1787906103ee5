#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace quincefall::standin {

/// Faults in force on a stand-in, as set through /admin/faults. docs/PLATFORM.md describes each.
struct fault_set
{
    bool down = false;
    bool refuse = false;
    bool silent = false;
    bool silentOpen = false;
    milliseconds delay{0};
    std::int64_t loseAnswers = 0;
    std::string losePath; ///< Only calls to paths with this prefix lose their answer.

    std::optional<std::int64_t> retention; ///< Records kept in each stream of the log.

    std::optional<milliseconds> tokenDelay;
    std::optional<milliseconds> firstTokenDelay;
    std::optional<std::int64_t> stallAfter; ///< Tokens of one stream before it stalls.
    std::optional<std::int64_t> cutAfter; ///< Tokens of one stream before it is cut.
    std::int64_t crossFrames = 0;
    std::int64_t duplicateFrames = 0;
    bool ignoreFencing = false;
    std::int64_t eventGap = 0;
    milliseconds reportLag{0};

    milliseconds runDelay{0};
};

/// Reads faults from JSON. A field that is unknown or of the wrong type is malformedRequest.
result<fault_set> parseFaults(const boost::json::object &object);

} // namespace quincefall::standin
