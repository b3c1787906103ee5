#include "policy_world.h"

#include <algorithm>
#include <cmath>

namespace quincefall::bench {
namespace {

constexpr milliseconds watchInterval{500};
constexpr double grantMessageBytes = 40;
constexpr double promptBytesPerToken = 4;
constexpr double eventBytes = 180; // One server-sent event with one token.
constexpr double callerRetryProbability = 0.5;

enum class attempt_end { complete, failed, stopped };

void endPermit(fleet_simulation &simulation, int host, int scheduler, const grant &permit,
               double tokens, microseconds duration, microseconds firstToken, attempt_end end)
{
    if (scheduler < 0)
        return;
    completion done;
    done.permit = permit.permit;
    done.upstream = permit.upstream;
    done.tokens = static_cast<std::uint32_t>(tokens);
    done.duration = duration;
    done.timeToFirstToken = firstToken;
    done.failed = end == attempt_end::failed;
    done.stopped = end == attempt_end::stopped;
    sendMessage(simulation, host, scheduler, finishMessageBytes, [&simulation, scheduler, done] {
        decide(simulation, scheduler,
               [&](pool_state &state) { return finish(state, done, simulation.events.now); });
    });
}

void countStartWindow(fleet_simulation &simulation, const simulated_request &request)
{
    auto &windows = simulation.figures.classes[request.classDemand->policy.name].windows;
    ++windows[simulation.events.now.time_since_epoch() / request.classDemand->policy.maxWait]
          .second;
}

void finishRequest(fleet_simulation &simulation, std::size_t index)
{
    simulated_request &request = simulation.requests[index];
    request.state = simulated_request_state::done;
    const class_policy &policy = request.classDemand->policy;
    const microseconds total = simulation.events.now - request.firstToken;
    const microseconds gap = total / std::max<std::int64_t>(1, std::llround(request.tokens) - 1);
    const microseconds wait = request.firstToken - request.arrival;
    const bool attained = wait <= policy.firstTokenTarget && gap <= policy.tokenGapTarget;
    const double generated = request.tokens - request.delivered;
    request.delivered = request.tokens;
    depositRetry(simulation.hosts[static_cast<std::size_t>(request.host)].retries);
    simulation.figures.allTokens += generated;
    simulation.figures.goodTokens += attained ? request.tokens : 0;
    class_figures &figures = simulation.figures.classes[policy.name];
    ++figures.served;
    figures.waitSum += toMilliseconds(wait) / 1000;
    simulation.figures.callerRetriesServed += request.isCallerRetry ? 1 : 0;
    figures.attained += attained && !request.isCallerRetry ? 1 : 0;
    if (request.classDemand->burstOrganisation != request.item.organisation
        && !request.isCallerRetry)
        simulation.nonBurstCounts[policy.name].second += attained ? 1 : 0;
    const microseconds duration = simulation.events.now - request.attemptStart;
    if (simulation.mode == sharing_mode::oracle)
        oracleAssign(simulation);
    else
        endPermit(simulation, request.host, schedulerOf(simulation, request.host), request.permit,
                  generated, duration,
                  std::max(request.firstToken, request.attemptStart) - request.attemptStart,
                  attempt_end::complete);
}

/// Ends the request with an error because the retry budget is used up.
void failRequest(fleet_simulation &simulation, std::size_t index)
{
    simulated_request &request = simulation.requests[index];
    request.state = simulated_request_state::refused;
    ++simulation.figures.failed;
    simulation.figures.wastedTokens["retry budget used up"] += request.delivered;
}

void handleGrant(fleet_simulation &simulation, int scheduler, const grant &permit)
{
    const auto index = static_cast<std::size_t>(std::stoull(permit.id));
    simulated_request &request = simulation.requests[index];
    const int host = hostIndex(simulation, permit.entryHost);
    if (request.state != simulated_request_state::waiting || request.host != host
        || schedulerOf(simulation, host) != scheduler) {
        endPermit(simulation, host, scheduler, permit, 0, {}, {}, attempt_end::stopped);
        return;
    }
    request.permit = permit;
    if (!engineOf(simulation, permit.upstream).up) {
        request.state = simulated_request_state::running;
        request.attempt = simulation.nextAttempt++;
        request.attemptStart = instant::min();
        simulation.events.after(
            crashDetectionDelay, [&simulation, index, attempt = request.attempt] {
                if (simulation.requests[index].attempt == attempt)
                    failAttempt(simulation, index, attempt_fault::upstreamFailed);
            });
        return;
    }
    startAttempt(simulation, index, permit.upstream);
}

} // namespace

void startAttempt(fleet_simulation &simulation, std::size_t index, const std::string &upstream)
{
    simulated_request &request = simulation.requests[index];
    engine_model &engine = engineOf(simulation, upstream);
    request.state = simulated_request_state::running;
    request.attempt = simulation.nextAttempt++;
    request.attemptStart = simulation.events.now;
    request.watch = {simulation.events.now + watchInterval, 0, 0};
    countStartWindow(simulation, request);
    const std::string &region = simulation.hosts[static_cast<std::size_t>(request.host)].region;
    if (region != engine.region) {
        simulation.figures.crossRegionBytes += request.item.promptTokens * promptBytesPerToken
            + (request.tokens - request.delivered) * eventBytes;
    }
    engine_stream stream;
    stream.attempt = request.attempt;
    stream.tier = request.classDemand->policy.tier;
    stream.prefix = request.item.prefixHash;
    stream.prefill = (request.item.promptTokens + request.delivered) * prefillUnitsPerToken;
    stream.tokens = std::max(1.0, request.tokens - request.delivered);
    if (request.delivered > 0 || request.item.resumeFrom > 0)
        simulation.figures.wastedTokens["resume"] += stream.prefill;
    stream.firstToken = [&simulation, index] {
        simulated_request &started = simulation.requests[index];
        if (started.firstToken == instant::min())
            started.firstToken = simulation.events.now + sameRegionDelay;
    };
    stream.done = [&simulation, index] { finishRequest(simulation, index); };
    if (simulation.mode == sharing_mode::oracle) {
        startStream(simulation.events, engine, stream);
        return;
    }
    simulation.events.after(
        delayBetween(region, engine.region), [&simulation, index, &engine, stream] {
            const simulated_request &current = simulation.requests[index];
            if (current.attempt == stream.attempt
                && current.state == simulated_request_state::running && engine.up)
                startStream(simulation.events, engine, stream);
        });
}

void failAttempt(fleet_simulation &simulation, std::size_t index, attempt_fault fault)
{
    simulated_request &request = simulation.requests[index];
    engine_model &engine = engineOf(simulation, request.permit.upstream);
    entry_host &host = simulation.hosts[static_cast<std::size_t>(request.host)];
    const bool neverStarted = request.attemptStart == instant::min();
    const double generated = stopStream(simulation.events, engine, request.attempt);
    simulation.figures.allTokens += generated;
    request.delivered += std::floor(generated);
    request.state = simulated_request_state::waiting;
    if (fault == attempt_fault::entryHostLost) {
        simulation.figures.wastedTokens["entry host lost"] += request.delivered;
        return;
    }
    request.item.resumeFrom = static_cast<std::uint32_t>(request.delivered);
    request.item.excluded.assign(1, request.permit.upstream);
    if (simulation.mode != sharing_mode::oracle) {
        endPermit(simulation, request.host, schedulerOf(simulation, request.host), request.permit,
                  generated,
                  neverStarted ? microseconds(0) : simulation.events.now - request.attemptStart, {},
                  fault == attempt_fault::slow ? attempt_end::stopped : attempt_end::failed);
    }
    // An attempt that never reached an upstream added no load, so it takes nothing from the budget.
    if (!neverStarted) {
        ++simulation.figures.retries;
        if (fault != attempt_fault::slow && !tryWithdrawRetry(host.retries)) {
            failRequest(simulation, index);
            return;
        }
    }
    submitRequest(simulation, index);
}

void watchStreams(fleet_simulation &simulation)
{
    for (std::size_t index = 0; index < simulation.requests.size(); ++index) {
        simulated_request &request = simulation.requests[index];
        if (request.state != simulated_request_state::running
            || request.attemptStart == instant::min()
            || simulation.events.now - request.attemptStart < watchInterval)
            continue;
        engine_model &engine = engineOf(simulation, request.permit.upstream);
        const auto tokens = static_cast<std::uint32_t>(
            generatedTokens(simulation.events, engine, request.attempt));
        if (!engine.up || request.tokens - request.delivered - tokens < 1)
            continue;
        const double rate = intervalRate(request.watch, tokens, simulation.events.now);
        const stream_action action
            = watchStream(request.watch, tokens, request.classDemand->policy.tokenGapTarget,
                          simulation.events.now);
        if (action == stream_action::none)
            continue;
        const int scheduler = schedulerOf(simulation, request.host);
        const slow_progress progress{request.permit.permit, request.permit.upstream, rate};
        if (scheduler >= 0) {
            sendMessage(simulation, request.host, scheduler, finishMessageBytes,
                        [&simulation, scheduler, progress] {
                            decide(simulation, scheduler, [&](pool_state &state) {
                                return reportSlow(state, progress, simulation.events.now);
                            });
                        });
        }
        if (action == stream_action::move
            && tryWithdrawRetry(simulation.hosts[static_cast<std::size_t>(request.host)].retries))
            failAttempt(simulation, index, attempt_fault::slow);
    }
    simulation.events.after(watchInterval, [&simulation] { watchStreams(simulation); });
}

void arrive(fleet_simulation &simulation, std::size_t index)
{
    simulated_request &request = simulation.requests[index];
    request.arrival = simulation.events.now;
    request.item.arrival = simulation.events.now;
    if (!request.isCallerRetry) {
        class_figures &figures = simulation.figures.classes[request.classDemand->policy.name];
        ++figures.offered;
        ++figures
              .windows[simulation.events.now.time_since_epoch()
                       / request.classDemand->policy.maxWait]
              .first;
        if (request.classDemand->burstOrganisation != request.item.organisation)
            ++simulation.nonBurstCounts[request.classDemand->policy.name].first;
    }
    submitRequest(simulation, index);
}

void handleRefusal(fleet_simulation &simulation, std::size_t index, milliseconds retryAfter)
{
    simulated_request &request = simulation.requests[index];
    if (request.state != simulated_request_state::waiting)
        return;
    request.state = simulated_request_state::refused;
    ++simulation.figures.classes[request.classDemand->policy.name].refused;
    if (request.delivered > 0)
        simulation.figures.wastedTokens["refused"] += request.delivered;
    if (request.isCallerRetry || uniform(simulation) >= callerRetryProbability)
        return;
    simulated_request callerRetry = request;
    callerRetry.isCallerRetry = true;
    callerRetry.state = simulated_request_state::waiting;
    callerRetry.arrival = instant{};
    callerRetry.firstToken = instant::min();
    callerRetry.delivered = 0;
    callerRetry.item.excluded.clear();
    callerRetry.item.resumeFrom = 0;
    const std::size_t next = simulation.requests.size();
    callerRetry.item.id = std::to_string(next);
    simulation.requests.push_back(callerRetry);
    ++simulation.figures.callerRetries;
    simulation.events.after(retryAfter, [&simulation, next] { arrive(simulation, next); });
}

void route(fleet_simulation &simulation, int from, const decisions &decided)
{
    for (const grant &permit : decided.grants) {
        sendMessage(simulation, from, hostIndex(simulation, permit.entryHost), grantMessageBytes,
                    [&simulation, from, permit] { handleGrant(simulation, from, permit); });
    }
    for (const refusal &refused : decided.refusals) {
        const auto index = static_cast<std::size_t>(std::stoull(refused.id));
        sendMessage(simulation, from, hostIndex(simulation, refused.entryHost), grantMessageBytes,
                    [&simulation, index, retryAfter = refused.retryAfter] {
                        handleRefusal(simulation, index, retryAfter);
                    });
    }
}

void submitRequest(fleet_simulation &simulation, std::size_t index)
{
    simulated_request &request = simulation.requests[index];
    entry_host *host = &simulation.hosts[static_cast<std::size_t>(request.host)];
    while (!host->alive) { // The load balancer sends the caller to another host of the region.
        request.host = (request.host + 2) % static_cast<int>(simulation.hosts.size());
        host = &simulation.hosts[static_cast<std::size_t>(request.host)];
    }
    request.item.entryHost = host->name;
    request.item.entryRegion = host->region;
    if (simulation.mode == sharing_mode::oracle) {
        const auto demandIndex
            = static_cast<std::size_t>(request.classDemand - simulation.plan.demands.data());
        const instant latestStart = request.arrival + request.classDemand->policy.firstTokenTarget
            - oracleFirstTokenTime(simulation, request);
        simulation.oracleWaiting[demandIndex].emplace(latestStart, index);
        oracleAssign(simulation);
        return;
    }
    const int scheduler = schedulerOf(simulation, request.host);
    if (scheduler < 0)
        return;
    sendMessage(simulation, request.host, scheduler, submitMessageBytes,
                [&simulation, scheduler, item = request.item] {
                    decide(simulation, scheduler, [&](pool_state &state) {
                        return submit(state, item, simulation.events.now);
                    });
                });
}

} // namespace quincefall::bench
