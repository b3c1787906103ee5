#include "operate/watch_routes.h"

#include "kernel/asio_headers.h"
#include "operate/change_feed.h"
#include "operate/config_service.h"
#include "operate/operator_answers.h"
#include "operate/status_routes.h"
#include "serve/http_server.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <map>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds changePoll{50};
constexpr milliseconds progressInterval{250};
constexpr milliseconds quietInterval{5000};
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string toLine(const json::object &object)
{
    return json::serialize(object) + "\n";
}

/// The state of one watch.
struct watch_progress
{
    std::uint64_t version = 0; ///< Told up to here.
    std::map<std::string, std::uint64_t> inForce; ///< By host, as told last.
    instant nextProgress; ///< When hosts are asked again.
    instant lastLine;
};

json::object describeChange(const feed_change &change)
{
    return {{"type", "change"},
            {"version", change.version},
            {"offset", change.version - 1},
            {"kind", toString(change.key.kind)},
            {"name", change.key.name},
            {"action", change.isDeleted ? "deleted" : "set"},
            {"operation", change.operation}};
}

/// All resources, for a watch whose start is no longer kept.
std::string listAll(const config_state &state)
{
    std::string lines;
    for (const auto &[key, stored] : state.resources)
        lines += toLine({{"type", "resource"},
                         {"version", stored.version},
                         {"kind", toString(key.kind)},
                         {"name", key.name},
                         {"spec", stored.json}});
    return lines + toLine({{"type", "synced"}, {"version", state.next}});
}

std::string newChanges(const operator_context &needs, watch_progress &watch)
{
    const config_state &state = needs.config.state();
    if (state.next <= watch.version)
        return {};
    std::string lines;
    if (!needs.changes.reachesBack(watch.version, state.next)) {
        lines = listAll(state);
    } else {
        for (const feed_change &change : needs.changes.after(watch.version))
            lines += toLine(describeChange(change));
    }
    watch.version = state.next;
    return lines;
}

bool isSettled(const watch_progress &watch)
{
    return !watch.inForce.empty()
        && std::all_of(watch.inForce.begin(), watch.inForce.end(),
                       [&watch](const auto &row) { return row.second >= watch.version; });
}

/// Lines for hosts whose configuration has moved on since the last look.
asio::awaitable<std::string> newProgress(const operator_context &needs, watch_progress &watch)
{
    std::string lines;
    const auto rows = co_await gatherProgress(needs);
    for (const host_progress &row : rows) {
        auto [told, isNew] = watch.inForce.try_emplace(row.host, 0);
        if (!row.isReached || row.version <= told->second)
            continue;
        told->second = row.version;
        lines += toLine({{"type", "in_force"}, {"host", row.host}, {"version", row.version}});
    }
    co_return lines;
}

/// The lines that have become due; a bare newline when it was quiet for long.
asio::awaitable<std::string> nextLines(const operator_context &needs, watch_progress &watch)
{
    std::string lines = newChanges(needs, watch);
    const instant now = needs.clock.now();
    if (!lines.empty() || (!isSettled(watch) && now >= watch.nextProgress)) {
        watch.nextProgress = now + progressInterval;
        lines += co_await newProgress(needs, watch);
    }
    if (lines.empty() && now - watch.lastLine > quietInterval)
        lines = "\n";
    if (!lines.empty())
        watch.lastLine = now;
    co_return lines;
}

} // namespace

asio::awaitable<void> answerWatch(http_exchange &exchange, const operator_context &needs)
{
    const std::string from = exchange.query("from");
    const auto version = parseVersion(from.empty() ? "0" : from);
    if (!version || *version > needs.config.state().next)
        co_return co_await refuseOperator(exchange, result_code::malformedRequest,
                                          "from: expected a version of this log");
    watch_progress watch;
    watch.version = *version;
    watch.lastLine = needs.clock.now();
    const std::vector<response_header> headers{{"Content-Type", "application/jsonl"}};
    if (!co_await exchange.beginStream(200, headers))
        co_return;
    asio::steady_timer pause(needs.context);
    while (!exchange.isCallerDisconnected() && !needs.isStopping()) {
        const std::string lines = co_await nextLines(needs, watch);
        if (!lines.empty() && !co_await exchange.write(lines))
            co_return;
        pause.expires_after(changePoll);
        co_await pause.async_wait(asTuple);
    }
    co_await exchange.endStream();
}

} // namespace quincefall
