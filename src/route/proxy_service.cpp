#include "route/proxy_service.h"

#include "kernel/asio_headers.h"

#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/route_choice.h"
#include "policy/stop_rule.h"
#include "route/proxy_attempt.h"
#include "route/proxy_job.h"
#include "route/request_digest.h"
#include "route/transfer_accounts.h"
#include "serve/problem.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;

// An answer this close to the deadline has timed out.
constexpr milliseconds minUsefulTime{10};
constexpr milliseconds minRetryAfter{100};
constexpr milliseconds roomCheckInterval{10};
constexpr int roomWaitPerTarget = 4; // A request waits for room at most this part of its target.
constexpr std::uint64_t drawSteps = 1'000'000; // Resolution of a draw.
// Share of the time left; callers honour a Retry-After of up to a third of it.
constexpr double maxRetryAfterShare = 0.3;

/// How a choice of an upstream differs from a request's first one.
struct choice_wish
{
    bool prefersLatency = false; ///< See placement_request.
    bool isRefusedAtHome = false; ///< See zone_view.
};

/// Keeps a job in the set of those that run.
class running_job
{
public:
    running_job(std::set<proxy_job *> &jobs, proxy_job &job)
        : m_jobs(jobs)
        , m_job(&job)
    {
        m_jobs.insert(m_job);
    }
    ~running_job() { m_jobs.erase(m_job); }
    running_job(const running_job &) = delete;
    running_job &operator=(const running_job &) = delete;

private:
    std::set<proxy_job *> &m_jobs;
    proxy_job *m_job;
};

/// Value of Retry-After in decimal seconds, since waits are often below one second.
std::string formatRetryAfter(microseconds wait)
{
    std::array<char, 24> text{};
    // Rounded up, so that the caller does not come back too early.
    std::snprintf(text.data(), text.size(), "%.2f", std::ceil(toMilliseconds(wait) / 10) / 100);
    return text.data();
}

} // namespace

struct proxy_service::state
{
    state(asio::io_context &io, routing_state &target, wire_format format,
          std::shared_ptr<upstream_paths> connections, metrics &meters, clock_source clocks,
          options values)
        : context(io)
        , routing(target)
        , wire(std::move(format))
        , paths(std::move(connections))
        , numbers(meters)
        , clock(std::move(clocks))
        , settings(std::move(values))
        , started(clock.now())
        , attempts{routing,
                   wire,
                   paths,
                   clock,
                   numbers,
                   [this](proxy_job &job, further_attempt_request request, microseconds silence) {
                       return reserveFurtherAttempt(job, request, silence);
                   },
                   {routing, paths, clock, settings.site.self, nullptr},
                   nullptr,
                   nullptr,
                   nullptr,
                   {},
                   settings.held,
                   liveness_probes::makeLivenessProbes(paths, wire),
                   settings.trustsClosedEnds}
    {
    }

    asio::io_context &context;
    routing_state &routing;
    wire_format wire;
    std::shared_ptr<upstream_paths> paths;
    metrics &numbers;
    clock_source clock;
    options settings;
    instant started;
    attempt_context attempts;
    transfer_accounts transfers;
    bool isRefusingNew = false;
    instant stopsAt = instant::max(); ///< When all requests are broken off.
    std::set<proxy_job *> running;

    /// Reserves a further attempt for the job unless one is reserved, or notes why none may follow.
    attempt_refusal reserveFurtherAttempt(proxy_job &job, further_attempt_request request,
                                          microseconds silence)
    {
        // Of a request that became held after its attempt, run() tells the caller by its own error.
        request.isHeldBack = job.mayCrashUpstreams
            || (request.isRunning && isHeld(routing.quarantine, job.traits));
        request.isRepeatable = job.isRepeatable();
        request.isContinuable = !job.hasStartedResponse || !job.events.hasUnplacedEvent;
        // A run that confirms the end of another one is at no further upstream.
        request.maxRuns = job.choice.route->maxAttempts + (job.confirming.empty() ? 0 : 1);
        request.upstreamsTried = job.tried.size();
        request.timeLeft = job.end() - clock.now();
        const auto upstreams
            = countFurtherUpstreams(routing.pools[job.service()], wantedBy(job), settings.site,
                                    routing.otherHostsLoad, silence, clock.now());
        job.noFurtherAttempt = refusalOfFurtherAttempt(request, upstreams);
        const bool hasBeenSent = request.mayHaveRun || job.sends > 0;
        if (job.noFurtherAttempt == attempt_refusal::none && hasBeenSent && !job.reservedAttempt)
            takeFurtherAttempt(job);
        return job.noFurtherAttempt;
    }

    void takeFurtherAttempt(proxy_job &job)
    {
        const std::string drawKey = job.request.id + "#" + std::to_string(job.sends);
        const double draw = double(nameHash(drawKey) % drawSteps) / drawSteps;
        job.reservedAttempt = tryWithdrawAttempt(budgetOf(job.service()), settings.budget,
                                                 routing.hostCount(), draw, clock.now());
        if (job.reservedAttempt)
            return;
        job.noFurtherAttempt = attempt_refusal::budget;
        numbers.add(metric::attemptsDenied, {{"service", job.service()}});
    }

    attempt_budget &budgetOf(const std::string &service)
    {
        const auto row = routing.budgets.find(service);
        if (row != routing.budgets.end())
            return row->second;
        return routing.budgets[service]
            = makeAttemptBudget(settings.budget, routing.hostCount(), started);
    }

    /// Whether a newer desired state is in force at another host, or may be anywhere.
    bool isDesiredStateStale() const
    {
        return routing.desiredConfirmedAt < clock.now() - settings.staleAfter
            || newestDesiredVersion(routing.otherHostsLoad) > routing.desired->version;
    }

    asio::awaitable<void> refuse(http_exchange &exchange, std::string requestId, problem failure)
    {
        std::vector<response_header> headers{{"Content-Type", "application/problem+json"}};
        if (failure.retryAfter)
            headers.push_back({"Retry-After", formatRetryAfter(*failure.retryAfter)});
        const int status = resultInfo(failure.code).httpStatus;
        std::string body = encodeProblem(failure, requestId);
        co_await exchange.respond(status, headers, std::move(body));
        noteRefusal(requestId, failure);
    }

    void noteRefusal(const std::string &requestId, const problem &failure)
    {
        numbers.add(metric::sheds, {{"code", resultInfo(failure.code).name}});
        logInfo("request refused",
                {{"request", requestId},
                 {"status", std::to_string(resultInfo(failure.code).httpStatus)},
                 {"cause", failure.detail},
                 {"run", std::string(toString(failure.run))},
                 {"version", std::to_string(routing.desired ? routing.desired->version : 0)},
                 {"others_version", std::to_string(newestDesiredVersion(routing.otherHostsLoad))},
                 {"desired_age_ms", formatAge(routing.desiredConfirmedAt, clock.now())},
                 {"upstreams_age_ms", formatAge(routing.upstreamsConfirmedAt, clock.now())}});
    }

    /// The error for a request without a route or with an unknown key; empty for all others.
    std::optional<problem> refusalOf(const route_choice &choice) const
    {
        if (choice.refusal == route_refusal::none)
            return std::nullopt;
        const bool isKey = choice.refusal == route_refusal::unknownKey;
        // A newer desired state may allow what this one does not.
        if (isDesiredStateStale())
            return problem{result_code::notReady, "this host's desired state may be outdated",
                           run_state::notRun, minRetryAfter};
        return problem{isKey ? result_code::unauthenticated : result_code::notFound,
                       isKey ? "the key belongs to no organisation" : "no route matches",
                       run_state::notRun, std::nullopt};
    }

    std::optional<problem> refusalOfHead(const http_exchange &exchange)
    {
        const auto request = wire.readRequest(exchange);
        if (!request || !routing.isReady())
            return std::nullopt; // Answered once it has arrived.
        auto refusal = refusalOf(chooseRoute(*routing.desired, request->authority, request->path,
                                             request->key, request->id));
        if (refusal)
            noteRefusal(request->id, *refusal);
        return refusal;
    }

    /// What an upstream gets of the request and a caller sends again unchanged.
    static std::uint64_t digestOfRequest(const proxy_job &job)
    {
        const std::string organisation = job.organisation();
        const std::array<std::string_view, 5> fields{job.request.method, job.request.authority,
                                                     job.request.target, organisation,
                                                     job.exchange.body()};
        return digestOf(fields);
    }

    /// Of the caller's attempt that brings the first event of the stream, also if it is another
    /// one.
    static std::uint64_t digestOfStream(const proxy_job &job)
    {
        const std::string organisation = job.organisation();
        const std::array<std::string_view, 2> fields{
            organisation, job.isTakenUp() ? job.request.resumedId : job.request.id};
        return digestOf(fields);
    }

    void prepare(proxy_job &job)
    {
        const route_rule &route = *job.choice.route;
        milliseconds limit = route.timeout.count() > 0 ? route.timeout : milliseconds(60'000);
        if (job.request.deadline)
            limit = std::min(limit, *job.request.deadline);
        job.deadline = job.arrived + limit;
        job.bodyBytes = double(job.exchange.body().size());
        job.urgency = urgencyOf(*job.desired, job.choice, wire.lowestUrgency);
        if (job.request.deadline)
            job.isCallerRetry
                = detectCallerRetry(routing.callerTimeouts, route.name, *job.request.deadline);
        depositAttempt(budgetOf(job.service()), settings.budget, job.arrived);
        job.traits = sharedPartTraits(job.request.prompt);
        job.traits.push_back({digestOfRequest(job), 0, true});
        if (!job.choice.service->engine || job.request.prompt.promptTokens <= 0)
            return;
        service_pool &pool = routing.pools[job.service()];
        job.isGapSensitive = isGapSensitive(route, *job.choice.service->engine, pool,
                                            job.request.prompt.promptTokens);
        placement_request wanted;
        wanted.prompt = &job.request.prompt;
        wanted.isGapSensitive = job.isGapSensitive;
        const auto zones = zonesFor(job);
        wanted.zones = zones ? &*zones : nullptr;
        recordDemand(pool, wanted, job.arrived);
    }

    /// Empty if transfers are not weighed.
    std::optional<zone_view> zonesFor(const proxy_job &job)
    {
        if (!settings.transfer || !differsByDomain(*job.choice.service, routing))
            return std::nullopt;
        return zoneViewOf(transfers, *settings.transfer, settings.site, routing, job, clock.now());
    }

    /// Runs one attempt, and accounts for what it transfers.
    asio::awaitable<attempt_end> runAccounted(proxy_job &job, placement chosen)
    {
        const auto zones = zonesFor(job);
        if (zones)
            recordTransferStart(transfers, numbers, chosen, *zones);
        const attempt_end end = co_await runAttempt(attempts, job, chosen);
        if (zones)
            recordTransferEnd(transfers, numbers, chosen, *zones, job);
        co_return end;
    }

    placement_request wantedBy(const proxy_job &job) const
    {
        placement_request wanted;
        wanted.prompt = &job.request.prompt;
        wanted.urgency = job.urgency;
        wanted.isGapSensitive = job.isGapSensitive;
        wanted.softwareVersion = job.streamVersion ? &*job.streamVersion : nullptr;
        wanted.tried = job.confirming.empty() ? &job.tried : nullptr;
        wanted.only = job.confirming.empty() ? nullptr : &job.confirming;
        wanted.turn = std::uint64_t(clock.wall() / rejectionTurn.count());
        return wanted;
    }

    placement choose(proxy_job &job, choice_wish wish = {})
    {
        placement_request wanted = wantedBy(job);
        wanted.prefersLatency = wish.prefersLatency;
        wanted.probe.isRetryable
            = job.isRepeatable() && job.runs + 1 < job.choice.route->maxAttempts;
        wanted.probe.targetMs = double(job.choice.route->targetLatency.count());
        auto zones = zonesFor(job);
        if (zones)
            zones->isRefusedAtHome = wish.isRefusedAtHome;
        wanted.zones = zones ? &*zones : nullptr;
        service_pool &pool = routing.pools[job.service()];
        for (const routed_upstream *upstream : takeDueReconnects(pool, clock.now()))
            startTask(context, "reconnect", paths->checkLink(upstream->listed));
        return chooseUpstream(pool, wanted, settings.site, routing.otherHostsLoad, clock.now());
    }

    /// Whether another attempt may follow one that ended with @p end. Reserves it.
    bool mayContinue(proxy_job &job, attempt_end end)
    {
        chooseConfirming(job);
        further_attempt_request request;
        request.mayHaveRun = end == attempt_end::failed;
        request.runs = job.runs;
        const attempt_refusal refusal = reserveFurtherAttempt(job, request, {});
        if (refusal == attempt_refusal::upstreams || refusal == attempt_refusal::version)
            setRetryAfterPause(job);
        return refusal == attempt_refusal::none;
    }

    overload_input overloadViewOf(const proxy_job &job, const placement &chosen) const
    {
        overload_input view;
        view.delayMs = chosen.delayMs;
        view.targetMs = double(job.choice.route->targetLatency.count());
        view.remainingMs = toMilliseconds(job.deadline - clock.now());
        view.isCallerRetry = job.isCallerRetry || job.isTakenUp();
        return view;
    }

    /// The upstream for the first attempt; none when the request is refused because of overload.
    placement chooseOrRefuse(proxy_job &job)
    {
        const placement chosen = choose(job);
        if (!chosen.upstream)
            return chosen;
        const overload_input view = overloadViewOf(job, chosen);
        const overload_decision decision = decideOverload(view);
        if (decision.isAdmitted)
            return chosen;
        const bool weighsZones = zonesFor(job).has_value();
        if (weighsZones && chosen.distance == zone_distance::home) {
            const placement away = choose(job, {false, true});
            if (decideOverload(overloadViewOf(job, away)).isAdmitted)
                return away;
        }
        if (allowsCacheMiss(chosen.idleCandidates, chosen.candidates)) {
            const placement soonest = choose(job, {true, weighsZones});
            if (decideOverload(overloadViewOf(job, soonest)).isAdmitted)
                return soonest;
        }
        job.retryAfter = decision.retryAfter;
        job.lastFailure
            = error{result_code::overloaded,
                    "the wait of " + std::to_string(std::lround(view.delayMs)) + " ms at "
                        + chosen.upstream->listed.id + " is longer than the request allows"};
        return {};
    }

    static error versionGoneError(const proxy_job &job)
    {
        return {result_code::streamVersionGone,
                "service " + job.service() + " has no usable upstream of software version \""
                    + *job.streamVersion + "\", which began the stream"};
    }

    /// If all upstreams have asked for time, the caller should return when the first is usable.
    void setRetryAfterPause(proxy_job &job)
    {
        const auto wait = timeUntilUsable(routing.pools[job.service()], clock.now());
        if (!job.retryAfter && wait && wait->count() > 0)
            job.retryAfter = std::chrono::ceil<milliseconds>(*wait);
    }

    /// Whether an upstream will soon have room for the request, early enough to answer it within
    /// its target.
    bool mayWaitForRoom(const proxy_job &job)
    {
        if (job.lastFailure || job.exchange.isCallerDisconnected())
            return false;
        const auto wait = timeUntilUsable(routing.pools[job.service()], clock.now());
        const microseconds waited = clock.now() - job.arrived;
        const microseconds longest = job.choice.route->targetLatency / roomWaitPerTarget;
        return wait && wait->count() > 0 && waited + *wait <= longest;
    }

    /// Finds out whether a run ended, without a proof, where the caller takes the stream up: then
    /// the next one may confirm it.
    asio::awaitable<void> findEarlierRunEnd(proxy_job &job)
    {
        service_pool &pool = routing.pools[job.service()];
        if (!job.hasStreamName()
            || framingKind(pool.framing, clock.now()) == stream_framing_kind::framed)
            co_return;
        const auto end = co_await attempts.streams->findRunEnd(job.stream, job.scope());
        if (!end || job.request.resumeAfter != end->after)
            co_return;
        job.events.lastId = end->after;
        job.events.previousId = end->before;
        noteUnprovenEnd(job.events);
        job.runEnds = end->upstreams;
        job.longestWait = std::max<microseconds>(job.longestWait, end->longestWait);
        const std::set<std::string, std::less<>> ended = upstreamsOfRunEnds(job);
        job.tried.insert(ended.begin(), ended.end());
        if (!hasUsableUpstream(job))
            job.tried.clear();
        chooseConfirming(job);
    }

    std::set<std::string, std::less<>> upstreamsOfRunEnds(const proxy_job &job)
    {
        std::set<std::string, std::less<>> ids;
        for (const auto &[id, one] : routing.pools[job.service()].upstreams) {
            if (std::find(job.runEnds.begin(), job.runEnds.end(), nameHash(id))
                != job.runEnds.end())
                ids.insert(id);
        }
        return ids;
    }

    bool hasUsableUpstream(const proxy_job &job)
    {
        const auto upstreams
            = countFurtherUpstreams(routing.pools[job.service()], wantedBy(job), settings.site,
                                    routing.otherHostsLoad, {}, clock.now());
        return upstreams.ofVersion > 0;
    }

    /// Lets the next run be at an upstream that has ended the answer at its current place, if two
    /// have, and one of them is usable.
    void chooseConfirming(proxy_job &job)
    {
        job.confirming.clear();
        if (!job.events.hasEndedHere && !job.unframedAnswer)
            return;
        job.confirming = upstreamsOfRunEnds(job);
        if (job.confirming.size() < 2 || !hasUsableUpstream(job))
            job.confirming.clear();
    }

    /// Chooses the service and software version that began the stream which the caller takes up.
    asio::awaitable<result<void>> chooseOrigin(proxy_job &job)
    {
        const auto origin = co_await attempts.streams->findOrigin(job.stream, job.scope());
        if (origin.isOutdated)
            job.retryAfter = minRetryAfter;
        if (!origin.kind)
            co_return makeError(
                result_code::streamOriginUnknown,
                (origin.isOutdated ? "the store did not answer, by which this host could tell"
                                   : "no host knows")
                    + std::string(" at which service and software version the stream of request \"")
                    + job.request.resumedId + "\" began");
        if (!setService(*job.desired, job.choice, origin.kind->service))
            co_return makeError(result_code::streamServiceMoved,
                                "route " + job.choice.route->name + " does not lead to service "
                                    + origin.kind->service
                                    + ", which began the stream of request \""
                                    + job.request.resumedId + "\"");
        job.streamVersion = origin.kind->version;
        co_await findEarlierRunEnd(job);
        co_return result<void>();
    }

    asio::awaitable<attempt_end> run(proxy_job &job)
    {
        attempt_end end = attempt_end::notRun;
        while (true) {
            if (job.isCut)
                co_return job.runs > 0 ? attempt_end::failed : attempt_end::notRun;
            if (const auto held = findHeldTrait(attempts.guard, job)) {
                job.lastFailure = heldBackError(*held);
                job.retryAfter = std::chrono::ceil<milliseconds>(held->retryAfter);
                co_return job.runs > 0 ? attempt_end::failed : attempt_end::notRun;
            }
            const placement chosen = job.sends == 0 ? chooseOrRefuse(job) : choose(job);
            if (!chosen.upstream && mayWaitForRoom(job)) {
                asio::steady_timer pause(context, roomCheckInterval);
                co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
                continue;
            }
            if (!chosen.upstream) {
                if (job.streamVersion && !job.lastFailure)
                    job.lastFailure = versionGoneError(job);
                setRetryAfterPause(job);
                if (!job.lastFailure)
                    job.lastFailure = error{result_code::noUpstream,
                                            "service " + job.service() + " has no usable upstream"};
                co_return job.runs > 0 ? attempt_end::failed : end;
            }
            const std::string id = chosen.upstream->listed.id;
            const bool isConfirming = job.confirming.erase(id) > 0;
            const std::size_t runEnds = job.runEnds.size();
            job.tried.insert(id);
            end = co_await runAccounted(job, chosen);
            // One that does not confirm its own end may have ended the answer to stop.
            if (isConfirming && job.runEnds.size() == runEnds)
                std::erase(job.runEnds, nameHash(id));
            if (end != attempt_end::notRun && end != attempt_end::failed)
                co_return end;
            if (job.exchange.isCallerDisconnected())
                co_return attempt_end::callerGone;
            if (!mayContinue(job, end))
                co_return job.runs > 0 ? attempt_end::failed : end;
        }
    }

    microseconds retryAfterFor(const proxy_job &job) const
    {
        const microseconds left = job.deadline - clock.now();
        const auto maxWait = std::chrono::duration_cast<microseconds>(left * maxRetryAfterShare);
        return std::min<microseconds>(maxWait, std::max<microseconds>(minRetryAfter, maxWait / 2));
    }

    static result_code refusalCodeOf(const proxy_job &job)
    {
        switch (job.lastFailure ? job.lastFailure->code : result_code::overloaded) {
        case result_code::promptHeldBack:
        case result_code::requestHeldBack:
        case result_code::streamOriginUnknown:
        case result_code::streamVersionGone:
        case result_code::streamServiceMoved:
            return job.lastFailure->code;
        default:
            return result_code::overloaded;
        }
    }

    /// Ends a request that no upstream answered in full: aborts an answer that has begun, otherwise
    /// sends an error.
    asio::awaitable<void> giveUp(proxy_job &job, attempt_end end)
    {
        if (job.hasStartedResponse) {
            job.exchange.abort();
            co_return;
        }
        const std::string detail = job.lastFailure ? job.lastFailure->detail : "";
        if (end == attempt_end::notRun) {
            const milliseconds wait
                = job.retryAfter.value_or(std::chrono::ceil<milliseconds>(retryAfterFor(job)));
            problem refusal{refusalCodeOf(job), detail, run_state::notRun, wait};
            co_await refuse(job.exchange, job.request.id, refusal);
            co_return;
        }
        const bool isTimeout = clock.now() + minUsefulTime >= job.deadline;
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
             {"desired_age_ms", formatAge(job.desiredConfirmedAt, job.arrived)},
             {"urgency", std::to_string(job.urgency)},
             {"end", std::string(toString(end))},
             {"took_ms", std::to_string(std::lround(tookMs))},
             {"limit_ms", std::to_string(std::lround(toMilliseconds(job.deadline - job.arrived)))},
             {"attempts", job.attemptLog},
             {"takes_up",
              job.isTakenUp()
                  ? job.request.resumedId + ":" + std::to_string(*job.request.resumeAfter)
                  : std::string("none")},
             {"software_version", job.streamVersion.value_or("none")},
             {"no_further_attempt", std::string(toString(job.noFurtherAttempt))},
             {"cause",
              end == attempt_end::answered || !job.lastFailure ? std::string("none")
                                                               : job.lastFailure->detail}});
    }

    /// The error for a request that the host, which is stopping, can't see to its end.
    std::optional<problem> refusalByStop(const proxy_job &job) const
    {
        if (stopsAt == instant::max())
            return std::nullopt;
        const instant now = clock.now();
        const late_request request{job.isRepeatable(), job.deadline - now,
                                   job.choice.route->targetLatency};
        if (takesLateRequest(request, stopsAt - now))
            return std::nullopt;
        return problem{result_code::hostStopping, "the host stops before the request may end",
                       run_state::notRun, minRetryAfter};
    }

    /// Breaks off all requests at stopsAt, so that their callers still get an answer.
    static asio::awaitable<void> cutAtStop(std::shared_ptr<state> self)
    {
        asio::steady_timer timer(self->context, self->stopsAt);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        std::vector<std::shared_ptr<upstream_call>> calls;
        for (proxy_job *job : self->running) {
            job->isCut = true;
            job->deadline = std::min(job->deadline, self->clock.now());
            calls.push_back(job->call.lock());
        }
        for (const auto &call : calls) {
            if (call)
                call->cancel();
        }
    }

    void stopBy(const std::shared_ptr<state> &self, instant end)
    {
        stopsAt = end;
        for (proxy_job *job : running)
            job->cutAt = end;
        startTask(context, "cut at stop", cutAtStop(self));
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
        if (!routing.isReady() || isRefusingNew) {
            problem refusal{isRefusingNew ? result_code::hostStopping : result_code::notReady,
                            isRefusingNew ? "the host is stopping"
                                          : "desired state or upstreams not read yet",
                            run_state::notRun, minRetryAfter};
            co_await refuse(exchange, id, refusal);
            co_return;
        }
        proxy_job job{exchange, std::move(*request), routing.desired, {}, arrived, arrived};
        job.desiredConfirmedAt = routing.desiredConfirmedAt;
        job.choice = chooseRoute(*job.desired, job.request.authority, job.request.path,
                                 job.request.key, id);
        if (const auto refusal = refusalOf(job.choice)) {
            co_await refuse(exchange, id, *refusal);
            co_return;
        }
        if (!job.choice.service) {
            problem refusal{result_code::noUpstream, "the route's service is not declared",
                            run_state::notRun, minRetryAfter};
            co_await refuse(exchange, id, refusal);
            co_return;
        }
        if (job.choice.route->isResumable && job.request.hasUnreadablePosition) {
            problem refusal{result_code::malformedRequest,
                            "the id of the last event is no number, or there are several",
                            run_state::notRun, std::nullopt};
            co_await refuse(exchange, id, refusal);
            co_return;
        }
        job.stream = digestOfStream(job);
        result<void> origin;
        if (job.isTakenUp() && attempts.streams)
            origin = co_await chooseOrigin(job);
        prepare(job);
        if (const auto refusal = refusalByStop(job)) {
            co_await refuse(exchange, id, *refusal);
            co_return;
        }
        job.cutAt = stopsAt;
        const running_job entry(running, job);
        attempt_end end = attempt_end::notRun;
        if (origin)
            end = co_await run(job);
        else
            job.lastFailure = origin.error();
        if (job.reservedAttempt)
            returnAttempt(budgetOf(job.service()), *job.reservedAttempt);
        if (end == attempt_end::notRun || end == attempt_end::failed)
            co_await giveUp(job, end);
        logEnd(job, end);
    }
};

std::unique_ptr<proxy_service>
proxy_service::makeProxyService(asio::io_context &context, routing_state &target, wire_format wire,
                                std::shared_ptr<upstream_paths> paths, metrics &numbers,
                                clock_source clock, options settings)
{
    return std::unique_ptr<proxy_service>(new proxy_service(
        std::make_shared<state>(context, target, std::move(wire), std::move(paths), numbers,
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

void proxy_service::onNotice(std::function<void()> listener)
{
    m_state->attempts.noticeListener = std::move(listener);
}

void proxy_service::onRun(std::function<void(const std::string &organisation)> listener)
{
    m_state->attempts.runListener = std::move(listener);
}

void proxy_service::onSuspectNews(std::function<void()> listener)
{
    m_state->attempts.guard.newsListener = std::move(listener);
}

void proxy_service::applyCrashNews()
{
    quincefall::applyCrashNews(m_state->attempts.guard);
}

void proxy_service::cancelHeldAttempts()
{
    quincefall::cancelHeldAttempts(m_state->attempts.guard);
}

void proxy_service::useStreamDirectory(stream_directory &directory)
{
    m_state->attempts.streams = &directory;
}

void proxy_service::stopBy(instant end)
{
    m_state->stopBy(m_state, end);
}

void proxy_service::refuseNewRequests()
{
    m_state->isRefusingNew = true;
}

std::optional<problem> proxy_service::refusalOfHead(const http_exchange &exchange) const
{
    return m_state->refusalOfHead(exchange);
}

} // namespace quincefall
