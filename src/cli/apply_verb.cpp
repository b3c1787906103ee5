#include "cli/operator_client.h"
#include "operate/manifest.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(f, "", "file of YAML documents with kind, name and spec; - for the standard input");
DEFINE_bool(dry_run, false, "show what would change and change nothing");
DEFINE_bool(wait, false, "wait until the changes are in force on every live host");
DEFINE_int32(timeout_s, 30, "longest wait in seconds");
DEFINE_string(operation, "", "operation id; repeating a call with the same id changes nothing");

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr milliseconds progressPollInterval{100};

std::optional<std::string> readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

std::string qualifiedName(const declared_resource &resource)
{
    return resource.kind + "/" + resource.name;
}

std::string encodePlan(const std::vector<declared_resource> &resources)
{
    json::array list;
    for (const declared_resource &resource : resources)
        list.push_back(json::object{
            {"kind", resource.kind}, {"name", resource.name}, {"spec", resource.spec}});
    return json::serialize(json::object{{"resources", std::move(list)}});
}

std::string stringField(const json::object &row, std::string_view name)
{
    const json::value *value = row.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::uint64_t numberField(const json::object &row, std::string_view name)
{
    const json::value *value = row.if_contains(name);
    boost::system::error_code failure;
    return value == nullptr ? 0 : value->to_number<std::uint64_t>(failure);
}

void printFields(const json::object &row)
{
    const json::value *fields = row.if_contains("fields");
    if (fields == nullptr || !fields->is_array())
        return;
    for (const json::value &field : fields->get_array())
        std::cout << "    " << field.at("field").as_string().c_str() << ": "
                  << json::serialize(field.at("before")) << " -> "
                  << json::serialize(field.at("after")) << '\n';
}

/// One run of the apply verb.
struct apply_run
{
    operator_client &client;
    std::vector<declared_resource> resources;
    std::string operation;
    std::uint64_t newestVersion = 0;

    /// Asks a host which action each resource needs; the result has the order of `resources`.
    tl::expected<json::array, exit_code> fetchPlan()
    {
        const auto response = client.send("POST", "/v1/plan", encodePlan(resources),
                                          {{"Content-Type", "application/json"}});
        if (!response)
            return tl::unexpected(exit_code(
                reportFailure({result_code::upstreamUnreachable, response.error().detail})));
        if (response->status != 200)
            return tl::unexpected(reportRefusal(*response));
        return parseBody(*response).at("resources").as_array();
    }

    exit_code printPlan(const json::array &rows) const
    {
        exit_code exitCode = exit_code::success;
        for (std::size_t index = 0; index < rows.size(); ++index) {
            const json::object &row = rows[index].as_object();
            const std::string action = stringField(row, "action");
            std::cout << qualifiedName(resources[index]) << ": " << action;
            if (action == "refused") {
                std::cout << ": " << stringField(row, "detail");
                exitCode = exit_code::failure;
            }
            std::cout << '\n';
            printFields(row);
        }
        return exitCode;
    }

    /// Writes one resource if its version is still the one in the plan.
    exit_code write(const declared_resource &resource, const json::object &row)
    {
        const std::string action = stringField(row, "action");
        if (action == "unchanged") {
            std::cout << qualifiedName(resource) << ": unchanged\n";
            newestVersion = std::max(newestVersion, numberField(row, "version"));
            return exit_code::success;
        }
        const std::string id = operation + "." + resource.kind + "." + resource.name;
        const auto response = client.send(
            "PUT", "/v1/resources/" + resource.kind + "/" + percentEncoded(resource.name),
            json::serialize(resource.spec),
            {{"Content-Type", "application/json"},
             {"X-Operation-Id", id},
             {"If-Match", std::to_string(numberField(row, "version"))}});
        if (!response) {
            std::cout << qualifiedName(resource) << ": outcome unknown; query operation " << id
                      << '\n';
            return reportFailure(response.error());
        }
        if (response->status != 200)
            return reportRefusedWrite(resource, *response, id);
        const json::value answer = parseBody(*response);
        const std::uint64_t version = numberField(answer.as_object(), "version");
        newestVersion = std::max(newestVersion, version);
        std::cout << qualifiedName(resource) << ": " << action << " (version " << version << ")\n";
        return exit_code::success;
    }

    static exit_code reportRefusedWrite(const declared_resource &resource,
                                        const http_response &response, const std::string &id)
    {
        const json::value parsed = parseBody(response);
        const std::string detail
            = parsed.is_object() ? stringField(parsed.get_object(), "detail") : std::string();
        const std::uint64_t code
            = parsed.is_object() ? numberField(parsed.get_object(), "code") : 0;
        if (code == std::uint64_t(result_code::versionConflict))
            std::cout << qualifiedName(resource) << ": conflict: " << detail << '\n';
        else if (code == std::uint64_t(result_code::writeUnknown))
            std::cout << qualifiedName(resource) << ": outcome unknown; query operation " << id
                      << '\n';
        else if (code == std::uint64_t(result_code::logUnavailable))
            std::cout << qualifiedName(resource) << ": not written: " << detail << '\n';
        else
            std::cout << qualifiedName(resource) << ": refused: " << detail << '\n';
        return code == std::uint64_t(result_code::writeUnknown) ? exit_code::unknown
                                                                : exit_code::failure;
    }

    /// Writes all resources in order and stops at the first failure, since later resources may
    /// refer to the one that failed.
    exit_code writeAll(const json::array &rows)
    {
        for (std::size_t index = 0; index < rows.size(); ++index) {
            const exit_code exitCode = write(resources[index], rows[index].as_object());
            if (exitCode != exit_code::success)
                return exitCode;
        }
        return exit_code::success;
    }

    /// Names of the live hosts where the changes are not in force yet, or a note that no host
    /// answered.
    std::string laggingHosts()
    {
        const auto response = client.send("GET", "/v1/progress");
        if (!response || response->status != 200)
            return "(no host answered)";
        std::string lagging;
        const json::value answer = parseBody(*response);
        for (const json::value &row : answer.at("hosts").as_array()) {
            if (numberField(row.as_object(), "config_version") < newestVersion)
                lagging += (lagging.empty() ? "" : " ") + stringField(row.as_object(), "host");
        }
        return lagging;
    }

    exit_code waitUntilInForce()
    {
        const auto deadline
            = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_timeout_s);
        std::string lagging = laggingHosts();
        while (!lagging.empty() && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(progressPollInterval);
            lagging = laggingHosts();
        }
        if (lagging.empty()) {
            std::cout << "in force on every live host (version " << newestVersion << ")\n";
            return exit_code::success;
        }
        std::cerr << "quincefall: accepted, not in force yet on: " << lagging << '\n';
        return exit_code::failure;
    }
};

bool anyRefused(const json::array &rows)
{
    return std::any_of(rows.begin(), rows.end(), [](const json::value &row) {
        return stringField(row.as_object(), "action") == "refused";
    });
}

} // namespace

exit_code runApply(std::span<const std::string>)
{
    const auto text = readFile(FLAGS_f);
    if (!text) {
        std::cerr << "quincefall: -f: cannot read the file\n";
        return exit_code::usage;
    }
    auto resources = readManifest(*text);
    if (!resources) {
        std::cerr << FLAGS_f << ": " << resources.error().detail << '\n';
        return exit_code::failure;
    }
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    apply_run run{*client, std::move(*resources),
                  FLAGS_operation.empty() ? makeOperationId() : FLAGS_operation};
    const auto rows = run.fetchPlan();
    if (!rows)
        return rows.error();
    if (FLAGS_dry_run || anyRefused(*rows))
        return run.printPlan(*rows);
    const exit_code written = run.writeAll(*rows);
    if (written != exit_code::success || !FLAGS_wait)
        return written;
    return run.waitUntilInForce();
}

} // namespace quincefall
