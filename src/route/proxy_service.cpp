#include "route/proxy_service.h"

#include "kernel/asio_headers.h"

#include "observe/log_setup.h"
#include "policy/route_choice.h"
#include "route/proxy_attempt.h"
#include "route/proxy_job.h"
#include "serve/problem.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace quincefall {
namespace {

namespace asio = boost::asio;

// Upstreams that one request may be rejected by before its caller is told to come back.
constexpr int mostRejections = 3;
// Less time than this is not enough for any upstream.
constexpr milliseconds shortestUsefulTime{10};
constexpr milliseconds shortestReturn{100};
constexpr milliseconds connectTimeout{400}; // As for calls; see upstream_call.
constexpr milliseconds shortestKeepAlive{2'000}; // An upstream tells its own with an answer.
constexpr double longestReturnShare = 0.3; // Of the time left; callers honour up to a third.

/// Value of Retry-After with a fraction, since waits here are often below a second.
std::string returnSeconds(microseconds wait)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", toMilliseconds(wait) / 1000);
    return text.data();
}

} // namespace

struct proxy_service::state : std::enable_shared_from_this<proxy_service::state>
{
    state(asio::io_context &io, routing_state &target, wire_format format,
          std::shared_ptr<connection_pool> pool, metrics &meters, clock_source clocks,
          options values)
        : context(io)
        , routing(target)
        , wire(std::move(format))
        , connections(std::move(pool))
        , numbers(meters)
        , clock(std::move(clocks))
        , settings(std::move(values))
        , attempts{routing, wire, connections, clock,
                   [this](proxy_job &job) { return takeFurther(job); }}
    {
    }

    asio::io_context &context;
    routing_state &routing;
    wire_format wire;
    std::shared_ptr<connection_pool> connections;
    metrics &numbers;
    clock_source clock;
    options settings;
    attempt_context attempts;
    bool isRefusing = false;

    bool takeFurther(proxy_job &job)
    {
        return takeAttempt(routing.budgets[job.service()], settings.budget, routing.hosts(),
                           clock.now());
    }

    bool isStale() const { return clock.now() - routing.desiredContact > settings.staleAfter; }

    asio::awaitable<void> refuse(http_exchange &exchange, std::string requestId, problem failure)
    {
        std::vector<response_header> headers{{"Content-Type", "application/problem+json"}};
        if (failure.retryAfter)
            headers.push_back({"Retry-After", returnSeconds(*failure.retryAfter)});
        const int status = resultInfo(failure.code).httpStatus;
        std::string body = encodeProblem(failure, requestId);
        co_await exchange.respond(status, headers, std::move(body));
        numbers.add(metric::sheds, {{"code", resultInfo(failure.code).name}});
        logInfo("request refused",
                {{"request", std::move(requestId)},
                 {"status", std::to_string(status)},
                 {"cause", failure.detail},
                 {"run", std::string(toString(failure.run))},
                 {"version", std::to_string(routing.desired ? routing.desired->version : 0)},
                 {"upstreams_age_ms",
                  routing.upstreamContact == instant::min()
                      ? "none"
                      : std::to_string(
                          std::lround(toMilliseconds(clock.now() - routing.upstreamContact)))}});
    }

    /// The refusal that the desired state asks for, if any.
    std::optional<problem> refusalOf(const route_choice &choice) const
    {
        if (choice.refusal == route_refusal::none)
            return std::nullopt;
        const bool isKey = choice.refusal == route_refusal::unknownKey;
        // A newer desired state may allow what this one does not.
        if (isStale())
            return problem{result_code::notReady, "the desired state in force here may be old",
                           run_state::notRun, shortestReturn};
        return problem{isKey ? result_code::unauthenticated : result_code::notFound,
                       isKey ? "no organisation holds the key" : "no route matches",
                       run_state::notRun, std::nullopt};
    }

    void prepare(proxy_job &job)
    {
        const route_rule &route = *job.choice.route;
        milliseconds limit = route.timeout.count() > 0 ? route.timeout : milliseconds(60'000);
        if (job.request.deadline)
            limit = std::min(limit, *job.request.deadline);
        job.deadline = job.arrived + limit;
        job.urgency = urgencyOf(*job.desired, job.choice, wire.lowestUrgency);
        if (job.request.deadline)
            job.isReturning = isReturning(routing.patience, route.name, *job.request.deadline);
        earnAttempt(routing.budgets[job.service()], settings.budget);
        if (!job.choice.service->engine || job.request.prompt.promptTokens <= 0)
            return;
        service_pool &pool = routing.pools[job.service()];
        job.isGapSensitive = isGapSensitive(route, *job.choice.service->engine, pool,
                                            job.request.prompt.promptTokens);
        placement_request wanted;
        wanted.prompt = &job.request.prompt;
        wanted.isGapSensitive = job.isGapSensitive;
        recordDemand(pool, wanted, job.arrived);
    }

    /// Tries to connect to an upstream that was cut off, and takes the outcome into its health.
    static asio::awaitable<void> reconnect(std::shared_ptr<state> self, upstream_entry entry)
    {
        auto opened = co_await self->connections->open(entry.address, connectTimeout);
        const bool isOpen = opened.has_value();
        if (isOpen) {
            (*opened)->keepAlive = shortestKeepAlive;
            self->connections->putIdle(entry.address, std::move(*opened));
        }
        routed_upstream *upstream = findUpstream(self->routing, entry);
        if (!upstream)
            co_return;
        recordReconnect(*upstream, isOpen, self->clock.now());
        if (isOpen)
            logInfo("upstream connected again",
                    {{"upstream", entry.id},
                     {"address", toString(entry.address)},
                     {"failures", std::to_string(upstream->health.failures)}});
    }

    placement choose(proxy_job &job, bool prefersLatency = false)
    {
        placement_request wanted;
        wanted.prompt = &job.request.prompt;
        wanted.urgency = job.urgency;
        wanted.isGapSensitive = job.isGapSensitive;
        wanted.prefersLatency = prefersLatency;
        wanted.tried = &job.tried;
        wanted.probe.isRetryable
            = job.isRepeatable() && job.runs + 1 < job.choice.route->maxAttempts;
        wanted.probe.targetMs = double(job.choice.route->targetLatency.count());
        service_pool &pool = routing.pools[job.service()];
        for (const routed_upstream *upstream : takeDueReconnects(pool, clock.now()))
            asio::co_spawn(context, reconnect(shared_from_this(), upstream->listed),
                           asio::detached);
        return chooseUpstream(pool, wanted, settings.site, routing.others, clock.now());
    }

    /// Whether another attempt may follow one that ended so.
    bool mayContinue(proxy_job &job, attempt_end end)
    {
        const bool isRepeat = end == attempt_end::failed;
        if (isRepeat && (!job.isRepeatable() || job.runs >= job.choice.route->maxAttempts))
            return false;
        if (job.tried.size() >= mostRejections || job.deadline - clock.now() < shortestUsefulTime)
            return false;
        if (job.sends == 0)
            return true;
        if (std::exchange(job.hasAttemptInHand, false))
            return true;
        return takeFurther(job);
    }

    overload_view viewOf(const proxy_job &job, const placement &chosen) const
    {
        overload_view view;
        view.delayMs = chosen.delayMs;
        view.targetMs = double(job.choice.route->targetLatency.count());
        view.leftMs = toMilliseconds(job.deadline - clock.now());
        view.isReturning = job.isReturning;
        return view;
    }

    /// The upstream for a first attempt; none when the request should rather come back later.
    placement chooseOrRefuse(proxy_job &job)
    {
        const placement chosen = choose(job);
        if (!chosen.upstream)
            return chosen;
        const overload_view view = viewOf(job, chosen);
        const overload_decision decision = decideOverload(view);
        if (decision.isAdmitted)
            return chosen;
        if (mayReadAgain(chosen.idleCandidates, chosen.candidates)) {
            const placement soonest = choose(job, true);
            if (decideOverload(viewOf(job, soonest)).isAdmitted)
                return soonest;
        }
        job.returnAfter = decision.returnAfter;
        job.lastFailure
            = error{result_code::overloaded,
                    "the wait of " + std::to_string(std::lround(view.delayMs)) + " ms at "
                        + chosen.upstream->listed.id + " is longer than the request allows"};
        return {};
    }

    asio::awaitable<attempt_end> run(proxy_job &job)
    {
        attempt_end end = attempt_end::notRun;
        while (true) {
            const placement chosen = job.sends == 0 ? chooseOrRefuse(job) : choose(job);
            if (!chosen.upstream) {
                if (!job.lastFailure)
                    job.lastFailure = error{result_code::noUpstream,
                                            "service " + job.service() + " has no upstream to use"};
                co_return job.runs > 0 ? attempt_end::failed : end;
            }
            job.tried.insert(chosen.upstream->listed.id);
            end = co_await runAttempt(attempts, job, chosen);
            if (end != attempt_end::notRun && end != attempt_end::failed)
                co_return end;
            if (job.exchange.isCallerDisconnected())
                co_return attempt_end::callerGone;
            if (!mayContinue(job, end))
                co_return job.runs > 0 ? attempt_end::failed : end;
        }
    }

    microseconds returnTime(const proxy_job &job) const
    {
        const microseconds left = job.deadline - clock.now();
        const auto longest = std::chrono::duration_cast<microseconds>(left * longestReturnShare);
        return std::min<microseconds>(longest, std::max<microseconds>(shortestReturn, longest / 2));
    }

    /// The final answer to a request that got none from an upstream.
    asio::awaitable<void> giveUp(proxy_job &job, attempt_end end)
    {
        if (job.hasBegun) {
            job.exchange.abort();
            co_return;
        }
        const std::string detail = job.lastFailure ? job.lastFailure->detail : "";
        if (end == attempt_end::notRun) {
            const milliseconds wait
                = job.returnAfter.value_or(std::chrono::ceil<milliseconds>(returnTime(job)));
            problem refusal{result_code::overloaded, detail, run_state::notRun, wait};
            co_await refuse(job.exchange, job.request.id, refusal);
            co_return;
        }
        const bool isTimeout = clock.now() + shortestUsefulTime >= job.deadline;
        problem failure{isTimeout ? result_code::upstreamTimeout : result_code::upstreamFailed,
                        detail, run_state::unknown, std::nullopt};
        co_await refuse(job.exchange, job.request.id, failure);
    }

    void logEnd(const proxy_job &job, attempt_end end)
    {
        const double tookMs = toMilliseconds(clock.now() - job.arrived);
        numbers.add(metric::answers,
                    {{"class", job.choice.route->name}, {"outcome", toString(end)}});
        numbers.observe(metric::answerTime, {{"class", job.choice.route->name}}, tookMs / 1000);
        logInfo(
            "request ended",
            {{"request", job.request.id},
             {"route", job.choice.route->name},
             {"service", job.service()},
             {"organisation", job.organisation()},
             {"version", std::to_string(job.desired->version)},
             {"urgency", std::to_string(job.urgency)},
             {"end", std::string(toString(end))},
             {"took_ms", std::to_string(std::lround(tookMs))},
             {"limit_ms", std::to_string(std::lround(toMilliseconds(job.deadline - job.arrived)))},
             {"attempts", job.attemptLog},
             {"cause",
              end == attempt_end::answered || !job.lastFailure ? std::string("none")
                                                               : job.lastFailure->detail}});
    }

    asio::awaitable<void> handle(http_exchange &exchange)
    {
        const instant arrived = clock.now();
        auto request = wire.readRequest(exchange);
        if (!request) {
            problem refusal{request.error().code, request.error().detail, run_state::notRun,
                            std::nullopt};
            co_await refuse(exchange, "", refusal);
            co_return;
        }
        const std::string id = request->id;
        if (!routing.isReady() || isRefusing) {
            problem refusal{isRefusing ? result_code::hostStopping : result_code::notReady,
                            isRefusing ? "the host is stopping" : "no desired state is known yet",
                            run_state::notRun, shortestReturn};
            co_await refuse(exchange, id, refusal);
            co_return;
        }
        proxy_job job{exchange, std::move(*request), routing.desired, {}, arrived, arrived};
        job.choice = chooseRoute(*job.desired, job.request.authority, job.request.path,
                                 job.request.key, id);
        if (const auto refusal = refusalOf(job.choice)) {
            co_await refuse(exchange, id, *refusal);
            co_return;
        }
        if (!job.choice.service) {
            problem refusal{result_code::noUpstream, "the route's service is not declared",
                            run_state::notRun, shortestReturn};
            co_await refuse(exchange, id, refusal);
            co_return;
        }
        prepare(job);
        const attempt_end end = co_await run(job);
        if (end == attempt_end::notRun || end == attempt_end::failed)
            co_await giveUp(job, end);
        logEnd(job, end);
    }
};

std::unique_ptr<proxy_service>
proxy_service::makeProxyService(asio::io_context &context, routing_state &target, wire_format wire,
                                std::shared_ptr<connection_pool> connections, metrics &numbers,
                                clock_source clock, options settings)
{
    return std::unique_ptr<proxy_service>(new proxy_service(
        std::make_shared<state>(context, target, std::move(wire), std::move(connections), numbers,
                                std::move(clock), std::move(settings))));
}

proxy_service::proxy_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

proxy_service::~proxy_service() = default;

asio::awaitable<void> proxy_service::handle(http_exchange &exchange)
{
    return m_state->handle(exchange);
}

void proxy_service::refuseNew()
{
    m_state->isRefusing = true;
}

} // namespace quincefall
