#pragma once

#include "kernel/result.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincefall {

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Sets the target of the process's log ("stdout", "stderr" or a file path) and its lowest level:
/// trace, debug, info, warn or error. Output to stdout is rate limited and never blocks; see
/// makeOutputAppender(). Fails with settingsInvalid.
result<void> setUpLog(const std::string &target, const std::string &level);

/// Logs a change of state as one line: the event name, then the fields as name=value.
void logInfo(std::string_view event, const log_fields &fields = {});
void logWarning(std::string_view event, const log_fields &fields = {});
void logError(std::string_view event, const log_fields &fields = {});

} // namespace quincefall
