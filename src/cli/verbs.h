#pragma once

#include <span>
#include <string>
#include <string_view>

namespace quincefall {

/// Exit codes of the program; docs/OPERATIONS.md lists them.
enum class exit_code : int {
    success = 0,
    failure = 1, ///< The operation was refused or failed.
    usage = 2, ///< The command line is invalid.
    settings = 3, ///< The settings file is invalid.
    unreachable = 4, ///< No host answered.
    unknown = 5, ///< A change may have been written; query it by its operation id.
};

/// A verb of the command line.
struct verb
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    exit_code (*run)(std::span<const std::string> arguments);
};

/// All verbs in the order of the help text.
std::span<const verb> allVerbs();

exit_code runServe(std::span<const std::string> arguments);
exit_code runRoute(std::span<const std::string> arguments);
exit_code runCheck(std::span<const std::string> arguments);
/// The settings part of `check`.
exit_code checkSettings();
exit_code runApply(std::span<const std::string> arguments);
exit_code runGet(std::span<const std::string> arguments);
exit_code runList(std::span<const std::string> arguments);
exit_code runDelete(std::span<const std::string> arguments);
exit_code runOperation(std::span<const std::string> arguments);
exit_code runWatch(std::span<const std::string> arguments);
exit_code runStatus(std::span<const std::string> arguments);
exit_code runTimeline(std::span<const std::string> arguments);
exit_code runDrain(std::span<const std::string> arguments);
exit_code runErrors(std::span<const std::string> arguments);
exit_code runVersion(std::span<const std::string> arguments);

} // namespace quincefall
