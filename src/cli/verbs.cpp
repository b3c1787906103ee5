#include "cli/verbs.h"

#include "kernel/result.h"

#include <array>
#include <iomanip>
#include <iostream>

namespace quincefall {
namespace {

constexpr std::string_view versionText = "0.1.0";

constexpr std::array verbs{
    verb{"serve", "--config FILE", "Runs a host of the fleet until SIGTERM or SIGINT.", runServe},
    verb{"check", "--config FILE", "Checks a settings file and reports every mistake.", runCheck},
    verb{"errors", "", "Prints the table of result codes.", runErrors},
    verb{"version", "", "Prints the version.", runVersion},
};

} // namespace

std::span<const verb> allVerbs()
{
    return verbs;
}

exit_code runErrors(std::span<const std::string>)
{
    for (const result_info &row : resultTable()) {
        std::cout << int(row.code) << "  " << std::left << std::setw(26) << row.name
                  << row.httpStatus << "  " << row.summary << '\n';
    }
    return exit_code::success;
}

exit_code runVersion(std::span<const std::string>)
{
    std::cout << "quincefall " << versionText << '\n';
    return exit_code::success;
}

} // namespace quincefall
