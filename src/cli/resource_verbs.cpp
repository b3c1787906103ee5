#include "cli/operator_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>

DECLARE_string(operation);
DEFINE_string(if_version, "", "delete only this version");
DEFINE_string(from, "", "watch changes after this version; from now on when not given");
DEFINE_bool(json, false, "print JSON");

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr int kindWidth = 15;
constexpr int nameWidth = 25;

/// URL path of a resource given as "kind/name" or as two arguments; empty when it is neither.
std::string resourcePath(std::span<const std::string> arguments)
{
    std::string text;
    if (arguments.size() == 1)
        text = arguments[0];
    else if (arguments.size() == 2)
        text = arguments[0] + "/" + arguments[1];
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size())
        return {};
    return "/v1/resources/" + percentEncoded(text.substr(0, slash)) + "/"
        + percentEncoded(text.substr(slash + 1));
}

exit_code usageError(const char *expected)
{
    std::cerr << "quincefall: expected " << expected << '\n';
    return exit_code::usage;
}

/// Sends a GET and passes a successful response to @p print.
template <typename printer>
exit_code readAndPrint(const std::string &target, const printer &print)
{
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    const auto response = client->send("GET", target);
    if (!response)
        return reportFailure(response.error());
    if (response->status != 200)
        return reportRefusal(*response);
    print(*response);
    return exit_code::success;
}

void printTable(const http_response &response)
{
    const json::value body = parseBody(response);
    for (const json::value &row : body.at("resources").as_array()) {
        std::cout << std::left << std::setw(kindWidth) << row.at("kind").as_string().c_str()
                  << std::setw(nameWidth) << row.at("name").as_string().c_str() << "version "
                  << row.at("version").to_number<std::uint64_t>() << '\n';
    }
}

void printBody(const http_response &response)
{
    std::cout << response.body << '\n';
}

/// The newest version in force on the host that answers; a watch from it begins with the next
/// change.
std::optional<std::string> currentVersion(operator_client &client)
{
    const auto response = client.send("GET", "/v1/resources");
    if (!response || response->status != 200)
        return std::nullopt;
    const json::value body = parseBody(*response);
    return std::to_string(body.at("version").to_number<std::uint64_t>());
}

} // namespace

exit_code runGet(std::span<const std::string> arguments)
{
    const std::string path = resourcePath(arguments);
    return path.empty() ? usageError("KIND/NAME") : readAndPrint(path, printBody);
}

exit_code runList(std::span<const std::string> arguments)
{
    std::string path = "/v1/resources";
    if (!arguments.empty())
        path += "/" + percentEncoded(arguments[0]);
    if (FLAGS_json)
        return readAndPrint(path, printBody);
    return readAndPrint(path, printTable);
}

exit_code runOperation(std::span<const std::string> arguments)
{
    if (arguments.size() != 1)
        return usageError("an operation id");
    return readAndPrint("/v1/operations/" + percentEncoded(arguments[0]), printBody);
}

exit_code runDelete(std::span<const std::string> arguments)
{
    const std::string path = resourcePath(arguments);
    if (path.empty())
        return usageError("KIND/NAME");
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    const std::string operation = FLAGS_operation.empty() ? makeOperationId() : FLAGS_operation;
    std::vector<http_header> headers{{"X-Operation-Id", operation}};
    if (!FLAGS_if_version.empty())
        headers.emplace_back("If-Match", FLAGS_if_version);
    const auto response = client->send("DELETE", path, {}, std::move(headers));
    if (!response) {
        std::cerr << "quincefall: operation id: " << operation << '\n';
        return reportFailure(response.error());
    }
    if (response->status != 200)
        return reportRefusal(*response);
    const json::value body = parseBody(*response);
    std::cout << "deleted (version " << body.at("version").to_number<std::uint64_t>() << ")\n";
    return exit_code::success;
}

exit_code runWatch(std::span<const std::string>)
{
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    std::string from = FLAGS_from;
    if (from.empty())
        from = currentVersion(*client).value_or("0");
    const auto print = [](std::string_view line) {
        std::cout << line << std::endl;
        return true;
    };
    const auto outcome = client->follow("/v1/watch?from=" + percentEncoded(from), print);
    return outcome ? exit_code::success : reportFailure(outcome.error());
}

} // namespace quincefall
