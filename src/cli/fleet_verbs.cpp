#include "cli/operator_client.h"
#include "cli/status_table.h"
#include "observe/timeline_merge.h"

#include <gflags/gflags.h>

#include <chrono>
#include <iostream>

DECLARE_bool(json);
DEFINE_string(request, "", "request id, as ORGANISATION.ID");
DEFINE_string(resource, "", "resource, pool, upstream or lease");
DEFINE_string(since, "", "only events of the last so many milliseconds");
DEFINE_string(format, "text", "text, jsonl, or trace for a browser's trace viewer");

namespace quincefall {
namespace {

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::string timelineTarget()
{
    std::string target = "/v1/timeline?request=" + percentEncoded(FLAGS_request)
        + "&resource=" + percentEncoded(FLAGS_resource);
    if (!FLAGS_since.empty())
        target += "&since=" + std::to_string(wallClockMs() - std::stoll(FLAGS_since));
    return target;
}

void printTimeline(const std::string &lines)
{
    if (FLAGS_format == "jsonl") {
        std::cout << lines;
        return;
    }
    const auto events = parseTimeline(lines);
    if (FLAGS_format == "trace") {
        std::cout << toTrace(events) << '\n';
        return;
    }
    for (const timeline_event &event : events)
        std::cout << toTextLine(event) << '\n';
}

bool isWholeNumber(const std::string &text)
{
    return text.size() <= 15 && text.find_first_not_of("0123456789") == std::string::npos;
}

} // namespace

exit_code runStatus(std::span<const std::string>)
{
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    const auto response = client->send("GET", "/v1/status");
    if (!response)
        return reportFailure(response.error());
    if (response->status != 200)
        return reportRefusal(*response);
    if (FLAGS_json)
        std::cout << response->body << '\n';
    else
        printStatus(std::cout, parseBody(*response));
    return exit_code::success;
}

exit_code runTimeline(std::span<const std::string>)
{
    const bool isKnownFormat
        = FLAGS_format == "text" || FLAGS_format == "jsonl" || FLAGS_format == "trace";
    if (!isKnownFormat || !isWholeNumber(FLAGS_since)) {
        std::cerr
            << "quincefall: expected --format text, jsonl or trace and --since MILLISECONDS\n";
        return exit_code::usage;
    }
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    const auto response = client->send("GET", timelineTarget());
    if (!response)
        return reportFailure(response.error());
    if (response->status != 200)
        return reportRefusal(*response);
    printTimeline(response->body);
    return exit_code::success;
}

exit_code runDrain(std::span<const std::string>)
{
    const auto client = operator_client::makeFromFlags();
    if (!client)
        return exit_code::usage;
    if (client->hostCount() != 1) {
        std::cerr << "quincefall: drain takes exactly one --host: the host to drain\n";
        return exit_code::usage;
    }
    const auto response = client->send("POST", "/v1/drain");
    if (!response)
        return reportFailure(response.error());
    if (response->status != 202)
        return reportRefusal(*response);
    std::cout << "draining: it finishes its running requests and exits\n";
    return exit_code::success;
}

} // namespace quincefall
