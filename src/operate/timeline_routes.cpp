#include "operate/timeline_routes.h"

#include "kernel/asio_headers.h"
#include "observe/timeline.h"
#include "observe/timeline_merge.h"
#include "operate/operator_answers.h"
#include "operate/peer_gather.h"
#include "peer/peer_mesh.h"
#include "serve/http_server.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds gatherTimeout{2000};
constexpr const char *timelinePath = "/operate/timeline";
/// Limit of the events that one host sends, in bytes. Above it, the oldest are left out.
constexpr std::size_t maxResponseBytes = 4U << 20;

timeline_filter readFilter(const http_exchange &exchange)
{
    timeline_filter filter;
    filter.request = exchange.query("request");
    filter.resource = exchange.query("resource");
    filter.since = std::int64_t(parseVersion(exchange.query("since")).value_or(0));
    return filter;
}

std::string encodeFilter(const timeline_filter &filter)
{
    return json::serialize(json::object{
        {"request", filter.request}, {"resource", filter.resource}, {"since", filter.since}});
}

result<timeline_filter> decodeFilter(const std::string &body)
{
    timeline_filter filter;
    try {
        const json::value parsed = json::parse(body);
        filter.request = std::string(parsed.at("request").as_string());
        filter.resource = std::string(parsed.at("resource").as_string());
        filter.since = parsed.at("since").to_number<std::int64_t>();
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return filter;
}

std::string selectLines(const timeline &events, const timeline_filter &filter)
{
    std::string lines;
    for (const timeline_event &event : events.select(filter))
        lines += toJsonLine(event) + "\n";
    if (lines.size() <= maxResponseBytes)
        return lines;
    const std::size_t begin = lines.find('\n', lines.size() - maxResponseBytes);
    return lines.substr(begin + 1);
}

asio::awaitable<result<std::string>> onTimeline(const operator_context &needs, std::string body)
{
    const auto filter = decodeFilter(body);
    if (!filter)
        co_return tl::unexpected(filter.error());
    co_return selectLines(needs.events, *filter);
}

asio::awaitable<void> respondLines(http_exchange &exchange, std::string lines)
{
    const std::vector<response_header> headers{{"Content-Type", "application/jsonl"}};
    co_await exchange.respond(200, headers, std::move(lines));
}

} // namespace

void registerTimelineHandler(const operator_context &needs)
{
    needs.mesh.handle(timelinePath,
                      [&needs](std::string body) { return onTimeline(needs, std::move(body)); });
}

asio::awaitable<void> answerOwnTimeline(http_exchange &exchange, const operator_context &needs)
{
    std::string lines = selectLines(needs.events, readFilter(exchange));
    co_await respondLines(exchange, std::move(lines));
}

asio::awaitable<void> answerFleetTimeline(http_exchange &exchange, const operator_context &needs)
{
    std::string filter = encodeFilter(readFilter(exchange));
    const auto responses = co_await gatherFromPeers(needs.context, needs.mesh, needs.liveHosts(),
                                                    timelinePath, std::move(filter), gatherTimeout);
    std::vector<std::string> lineTexts;
    for (const gathered_response &gathered : responses) {
        if (gathered.response)
            lineTexts.push_back(*gathered.response);
        else
            lineTexts.push_back(missingHostLine(gathered.host, needs.clock.wall(),
                                                gathered.response.error().detail));
    }
    std::string lines;
    for (const timeline_event &event : mergeTimelines(lineTexts))
        lines += toJsonLine(event) + "\n";
    co_await respondLines(exchange, std::move(lines));
}

} // namespace quincefall
