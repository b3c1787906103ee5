#pragma once

#include "kernel/byte_budget.h"
#include "kernel/clock.h"
#include "observe/metrics.h"
#include "policy/placement.h"
#include "route/routing_state.h"
#include "route/stream_directory.h"
#include "route/upstream_paths.h"
#include "route/wire_format.h"
#include "serve/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace quincefall {

/// Reverse proxy: forwards callers' requests to upstreams and relays the answers.
class proxy_service
{
public:
    struct options
    {
        placement_site site;
        std::optional<transfer_terms> transfer; ///< Empty: transfers are not weighed.
        attempt_budget_rule budget;
        /// Time in which a change must be in force everywhere. A desired state that was not
        /// confirmed as the newest for longer may be outdated, so requests that it does not allow
        /// get notReady rather than 401 or 404.
        milliseconds staleAfter{2'500};
        bool trustsClosedEnds = false; ///< See run_end::isDeclared.
        /// Holds the answers and events that are not passed on yet; null for no bound.
        std::shared_ptr<byte_budget> held{};
    };

    static std::unique_ptr<proxy_service> makeProxyService(boost::asio::io_context &context,
                                                           routing_state &state, wire_format wire,
                                                           std::shared_ptr<upstream_paths> paths,
                                                           metrics &numbers, clock_source clock,
                                                           options settings);
    ~proxy_service();

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

    /// Called when an upstream told something new of itself in an answer.
    void onNotice(std::function<void()> listener);

    /// Called with the organisation of each request that an upstream begins to run; empty where the
    /// route needs no key.
    void onRun(std::function<void(const std::string &organisation)> listener);

    /// Called when other hosts should hear of a suspected trait of requests at once.
    void onSuspectNews(std::function<void()> listener);

    /// Applies crashes of upstreams that the platform's list has shown.
    void applyCrashNews();

    /// Cancels the attempts of requests with a trait that is now held.
    void cancelHeldAttempts();

    /// Sets where the service finds the origin of streams that callers take up.
    void useStreamDirectory(stream_directory &directory);

    /// Ends the running requests by @p end: those without an answer get an error then. From now on
    /// refuses requests that may not be repeated and may last longer.
    void stopBy(instant end);

    /// Refuses all requests that arrive from now on without running them.
    void refuseNewRequests();

    /// Why a request with this head is refused, whatever its body is; empty if it may be served.
    std::optional<problem> refusalOfHead(const http_exchange &exchange) const;

private:
    struct state;
    explicit proxy_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
