#pragma once

#include "kernel/result.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincefall {

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Directs the process's log to @p target ("stdout", "stderr" or a file path) from @p level on:
/// trace, debug, info, warn or error. Lines to stdout are bounded and never block; see
/// makeOutputAppender(). Fails with settingsInvalid.
result<void> setUpLog(const std::string &target, const std::string &level);

/// Writes one line for a change of state: the text, then the fields as name=value.
void logInfo(std::string_view text, const log_fields &fields = {});
void logWarning(std::string_view text, const log_fields &fields = {});
void logError(std::string_view text, const log_fields &fields = {});

} // namespace quincefall
