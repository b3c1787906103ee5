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

constexpr milliseconds changePollInterval{50};
constexpr milliseconds progressInterval{250};
constexpr milliseconds keepAliveInterval{5000};
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string toLine(const json::object &object)
{
    return json::serialize(object) + "\n";
}

/// What one watch has sent so far.
struct watch_state
{
    std::uint64_t sentVersion = 0; ///< Changes up to this version were sent.
    std::map<std::string, std::uint64_t> sentProgress; ///< Last version sent for each host.
    instant nextProgressQuery; ///< When to ask the hosts again without a change.
    instant lastLineAt;
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

/// Lines for all resources, sent when the changes since the last line are no longer kept.
std::string allResourceLines(const config_state &state)
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

std::string changeLines(const operator_context &needs, watch_state &watch)
{
    const config_state &state = needs.config.state();
    if (state.next <= watch.sentVersion)
        return {};
    std::string lines;
    if (!needs.changes.hasChangesBetween(watch.sentVersion, state.next)) {
        lines = allResourceLines(state);
    } else {
        for (const feed_change &change : needs.changes.changesSince(watch.sentVersion))
            lines += toLine(describeChange(change));
    }
    watch.sentVersion = state.next;
    return lines;
}

bool isInForceEverywhere(const watch_state &watch)
{
    return !watch.sentProgress.empty()
        && std::all_of(watch.sentProgress.begin(), watch.sentProgress.end(),
                       [&watch](const auto &row) { return row.second >= watch.sentVersion; });
}

/// Lines for the hosts that report a higher version than the last one sent.
asio::awaitable<std::string> progressLines(const operator_context &needs, watch_state &watch)
{
    std::string lines;
    const auto rows = co_await gatherProgress(needs);
    for (const host_progress &row : rows) {
        auto [sent, isNew] = watch.sentProgress.try_emplace(row.host, 0);
        if (!row.hasAnswered || row.version <= sent->second)
            continue;
        sent->second = row.version;
        lines += toLine({{"type", "in_force"}, {"host", row.host}, {"version", row.version}});
    }
    co_return lines;
}

/// The lines to send now; an empty line as a keep-alive after keepAliveInterval without any.
asio::awaitable<std::string> nextLines(const operator_context &needs, watch_state &watch)
{
    std::string lines = changeLines(needs, watch);
    const instant now = needs.clock.now();
    if (!lines.empty() || (!isInForceEverywhere(watch) && now >= watch.nextProgressQuery)) {
        watch.nextProgressQuery = now + progressInterval;
        lines += co_await progressLines(needs, watch);
    }
    if (lines.empty() && now - watch.lastLineAt > keepAliveInterval)
        lines = "\n";
    if (!lines.empty())
        watch.lastLineAt = now;
    co_return lines;
}

} // namespace

asio::awaitable<void> answerWatch(http_exchange &exchange, const operator_context &needs)
{
    const std::string from = exchange.query("from");
    const auto version = parseVersion(from.empty() ? "0" : from);
    if (!version || *version > needs.config.state().next)
        co_return co_await refuseOperator(
            exchange, result_code::malformedRequest,
            "from: expected a version that is not above the one in force");
    watch_state watch;
    watch.sentVersion = *version;
    watch.lastLineAt = needs.clock.now();
    const std::vector<response_header> headers{{"Content-Type", "application/jsonl"}};
    if (!co_await exchange.beginStream(200, headers))
        co_return;
    asio::steady_timer pause(needs.context);
    while (!exchange.isCallerDisconnected() && !needs.isStopping()) {
        const std::string lines = co_await nextLines(needs, watch);
        if (!lines.empty() && !co_await exchange.write(lines))
            co_return;
        pause.expires_after(changePollInterval);
        co_await pause.async_wait(asTuple);
    }
    co_await exchange.endStream();
}

} // namespace quincefall
