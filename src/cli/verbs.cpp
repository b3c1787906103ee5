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
    verb{"route", "[--config FILE] [--check]",
         "Runs an entry host on a prepared platform until SIGTERM or SIGINT.", runRoute},
    verb{"check", "--config FILE | --desired FILE [--in_force FILE | --host IP:PORT] [--json]",
         "Checks a settings file, or a desired state before it is sent and how it differs from the "
         "one in force.",
         runCheck},
    verb{"apply", "-f FILE --host IP:PORT[,...] [--dry-run] [--wait] [--operation ID]",
         "Declares the resources of a YAML file; prints what became of each.", runApply},
    verb{"get", "KIND/NAME --host IP:PORT[,...]", "Prints a resource as JSON.", runGet},
    verb{"list", "[KIND] --host IP:PORT[,...] [--json]", "Lists resources and their versions.",
         runList},
    verb{"delete", "KIND/NAME --host IP:PORT[,...] [--if-version VERSION] [--operation ID]",
         "Deletes a resource that no other names.", runDelete},
    verb{"operation", "ID --host IP:PORT[,...]", "Prints what became of a change.", runOperation},
    verb{"watch", "--host IP:PORT[,...] [--from VERSION]",
         "Prints changes, and where they are in force, as JSON lines.", runWatch},
    verb{"status", "--host IP:PORT[,...] [--json]", "Prints hosts, queues and upstreams.",
         runStatus},
    verb{"timeline",
         "--host IP:PORT[,...] [--request ID] [--resource NAME] [--since MS] "
         "[--format text|jsonl|trace]",
         "Prints what all hosts did, in order.", runTimeline},
    verb{"drain", "--host IP:PORT", "Lets one host finish its requests and exit.", runDrain},
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
