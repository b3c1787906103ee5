#include "policy_world.h"

#include <algorithm>
#include <cmath>

namespace quincefall::bench {
namespace {

constexpr milliseconds watchInterval{500};
constexpr double grantBytes = 40;
constexpr double promptBytesPerToken = 4;
constexpr double eventBytes = 180; // One server-sent event.
constexpr double returnProbability = 0.5;

enum class attempt_end { complete, failed, stopped };

void endPermit(fleet &world, int host, int scheduler, const grant &permit, double tokens,
               microseconds duration, microseconds firstToken, attempt_end end)
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
    sendMessage(world, host, scheduler, finishBytes, [&world, scheduler, done] {
        decide(world, scheduler,
               [&](pool_state &state) { return finish(state, done, world.events.now); });
    });
}

void countStartWindow(fleet &world, const request &of)
{
    auto &windows = world.figures.classes[of.of->policy.name].windows;
    ++windows[world.events.now.time_since_epoch() / of.of->policy.maxWait].second;
}

void finishRequest(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    of.state = request_state::done;
    const class_policy &policy = of.of->policy;
    const microseconds total = world.events.now - of.firstToken;
    const microseconds gap = total / std::max<std::int64_t>(1, std::llround(of.tokens) - 1);
    const microseconds wait = of.firstToken - of.arrival;
    const bool attained = wait <= policy.firstTokenTarget && gap <= policy.tokenGapTarget;
    const double made = of.tokens - of.delivered;
    of.delivered = of.tokens;
    depositRetry(world.hosts[static_cast<std::size_t>(of.host)].retries);
    world.figures.allTokens += made;
    world.figures.goodTokens += attained ? of.tokens : 0;
    class_figures &figures = world.figures.classes[policy.name];
    ++figures.served;
    figures.waitSum += toMilliseconds(wait) / 1000;
    world.figures.returnedServed += of.isReturn ? 1 : 0;
    figures.attained += attained && !of.isReturn ? 1 : 0;
    if (of.of->burstOrganisation != of.item.organisation && !of.isReturn)
        world.quietOrganisations[policy.name].second += attained ? 1 : 0;
    const microseconds duration = world.events.now - of.attemptStart;
    if (world.way == sharing_way::oracle)
        oracleAssign(world);
    else
        endPermit(world, of.host, schedulerOf(world, of.host), of.permit, made, duration,
                  std::max(of.firstToken, of.attemptStart) - of.attemptStart,
                  attempt_end::complete);
}

/// Ends the answer with an error, since the retry budget is used up.
void giveUp(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    of.state = request_state::refused;
    ++world.figures.failed;
    world.figures.wastedTokens["retry budget used up"] += of.delivered;
}

void takeGrant(fleet &world, int scheduler, const grant &permit)
{
    const auto index = static_cast<std::size_t>(std::stoull(permit.id));
    request &of = world.requests[index];
    const int host = hostIndex(world, permit.entryHost);
    if (of.state != request_state::waiting || of.host != host
        || schedulerOf(world, host) != scheduler) {
        endPermit(world, host, scheduler, permit, 0, {}, {}, attempt_end::stopped);
        return;
    }
    of.permit = permit;
    if (!engineOf(world, permit.upstream).up) {
        of.state = request_state::running;
        of.attempt = world.nextAttempt++;
        of.attemptStart = instant::min();
        world.events.after(crashNotice, [&world, index, attempt = of.attempt] {
            if (world.requests[index].attempt == attempt)
                failAttempt(world, index, attempt_fault::upstreamFailed);
        });
        return;
    }
    startAttempt(world, index, permit.upstream);
}

} // namespace

void startAttempt(fleet &world, std::size_t index, const std::string &upstream)
{
    request &of = world.requests[index];
    engine_model &engine = engineOf(world, upstream);
    of.state = request_state::running;
    of.attempt = world.nextAttempt++;
    of.attemptStart = world.events.now;
    of.watch = {world.events.now + watchInterval, 0, 0};
    countStartWindow(world, of);
    const std::string &region = world.hosts[static_cast<std::size_t>(of.host)].region;
    if (region != engine.region) {
        world.figures.crossRegionBytes
            += of.item.promptTokens * promptBytesPerToken + (of.tokens - of.delivered) * eventBytes;
    }
    engine_stream stream;
    stream.attempt = of.attempt;
    stream.tier = of.of->policy.tier;
    stream.prefix = of.item.prefixHash;
    stream.prefill = (of.item.promptTokens + of.delivered) * prefillUnitsPerToken;
    stream.tokens = std::max(1.0, of.tokens - of.delivered);
    if (of.delivered > 0 || of.item.resumeFrom > 0)
        world.figures.wastedTokens["resume"] += stream.prefill;
    stream.firstToken = [&world, index] {
        request &started = world.requests[index];
        if (started.firstToken == instant::min())
            started.firstToken = world.events.now + localDelay;
    };
    stream.done = [&world, index] { finishRequest(world, index); };
    if (world.way == sharing_way::oracle) {
        startStream(world.events, engine, stream);
        return;
    }
    world.events.after(delayBetween(region, engine.region), [&world, index, &engine, stream] {
        const request &current = world.requests[index];
        if (current.attempt == stream.attempt && current.state == request_state::running
            && engine.up)
            startStream(world.events, engine, stream);
    });
}

void failAttempt(fleet &world, std::size_t index, attempt_fault fault)
{
    request &of = world.requests[index];
    engine_model &engine = engineOf(world, of.permit.upstream);
    entry_host &host = world.hosts[static_cast<std::size_t>(of.host)];
    const bool neverStarted = of.attemptStart == instant::min();
    const double made = stopStream(world.events, engine, of.attempt);
    world.figures.allTokens += made;
    of.delivered += std::floor(made);
    of.state = request_state::waiting;
    if (fault == attempt_fault::entryHostLost) {
        world.figures.wastedTokens["entry host lost"] += of.delivered;
        return;
    }
    of.item.resumeFrom = static_cast<std::uint32_t>(of.delivered);
    of.item.excluded.assign(1, of.permit.upstream);
    if (world.way != sharing_way::oracle) {
        endPermit(world, of.host, schedulerOf(world, of.host), of.permit, made,
                  neverStarted ? microseconds(0) : world.events.now - of.attemptStart, {},
                  fault == attempt_fault::slow ? attempt_end::stopped : attempt_end::failed);
    }
    // An attempt that never reached an upstream adds no load to any.
    if (!neverStarted) {
        ++world.figures.retries;
        if (fault != attempt_fault::slow && !tryWithdrawRetry(host.retries)) {
            giveUp(world, index);
            return;
        }
    }
    submitRequest(world, index);
}

void watchStreams(fleet &world)
{
    for (std::size_t index = 0; index < world.requests.size(); ++index) {
        request &of = world.requests[index];
        if (of.state != request_state::running || of.attemptStart == instant::min()
            || world.events.now - of.attemptStart < watchInterval)
            continue;
        engine_model &engine = engineOf(world, of.permit.upstream);
        const auto tokens
            = static_cast<std::uint32_t>(tokensMade(world.events, engine, of.attempt));
        if (!engine.up || of.tokens - of.delivered - tokens < 1)
            continue;
        const double rate = intervalRate(of.watch, tokens, world.events.now);
        const stream_action action
            = watchStream(of.watch, tokens, of.of->policy.tokenGapTarget, world.events.now);
        if (action == stream_action::none)
            continue;
        const int scheduler = schedulerOf(world, of.host);
        const slow_progress progress{of.permit.permit, of.permit.upstream, rate};
        if (scheduler >= 0) {
            sendMessage(world, of.host, scheduler, finishBytes, [&world, scheduler, progress] {
                decide(world, scheduler, [&](pool_state &state) {
                    return reportSlow(state, progress, world.events.now);
                });
            });
        }
        if (action == stream_action::move
            && tryWithdrawRetry(world.hosts[static_cast<std::size_t>(of.host)].retries))
            failAttempt(world, index, attempt_fault::slow);
    }
    world.events.after(watchInterval, [&world] { watchStreams(world); });
}

void arrive(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    of.arrival = world.events.now;
    of.item.arrival = world.events.now;
    if (!of.isReturn) {
        class_figures &figures = world.figures.classes[of.of->policy.name];
        ++figures.offered;
        ++figures.windows[world.events.now.time_since_epoch() / of.of->policy.maxWait].first;
        if (of.of->burstOrganisation != of.item.organisation)
            ++world.quietOrganisations[of.of->policy.name].first;
    }
    submitRequest(world, index);
}

void takeRefusal(fleet &world, std::size_t index, milliseconds retryAfter)
{
    request &of = world.requests[index];
    if (of.state != request_state::waiting)
        return;
    of.state = request_state::refused;
    ++world.figures.classes[of.of->policy.name].refused;
    if (of.delivered > 0)
        world.figures.wastedTokens["refused"] += of.delivered;
    if (of.isReturn || uniform(world) >= returnProbability)
        return;
    request again = of;
    again.isReturn = true;
    again.state = request_state::waiting;
    again.arrival = instant{};
    again.firstToken = instant::min();
    again.delivered = 0;
    again.item.excluded.clear();
    again.item.resumeFrom = 0;
    const std::size_t next = world.requests.size();
    again.item.id = std::to_string(next);
    world.requests.push_back(again);
    ++world.figures.returned;
    world.events.after(retryAfter, [&world, next] { arrive(world, next); });
}

void route(fleet &world, int from, const decisions &decided)
{
    for (const grant &permit : decided.grants) {
        sendMessage(world, from, hostIndex(world, permit.entryHost), grantBytes,
                    [&world, from, permit] { takeGrant(world, from, permit); });
    }
    for (const refusal &refused : decided.refusals) {
        const auto index = static_cast<std::size_t>(std::stoull(refused.id));
        sendMessage(world, from, hostIndex(world, refused.entryHost), grantBytes,
                    [&world, index, retryAfter = refused.retryAfter] {
                        takeRefusal(world, index, retryAfter);
                    });
    }
}

void submitRequest(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    entry_host *host = &world.hosts[static_cast<std::size_t>(of.host)];
    while (!host->alive) { // The balancer sends the caller to another host of the region.
        of.host = (of.host + 2) % static_cast<int>(world.hosts.size());
        host = &world.hosts[static_cast<std::size_t>(of.host)];
    }
    of.item.entryHost = host->name;
    of.item.entryRegion = host->region;
    if (world.way == sharing_way::oracle) {
        const auto demandIndex = static_cast<std::size_t>(of.of - world.plan.demands.data());
        const instant latestStart
            = of.arrival + of.of->policy.firstTokenTarget - oracleFirstTokenTime(world, of);
        world.oracleWaiting[demandIndex].emplace(latestStart, index);
        oracleAssign(world);
        return;
    }
    const int scheduler = schedulerOf(world, of.host);
    if (scheduler < 0)
        return;
    sendMessage(world, of.host, scheduler, submitBytes, [&world, scheduler, item = of.item] {
        decide(world, scheduler,
               [&](pool_state &state) { return submit(state, item, world.events.now); });
    });
}

} // namespace quincefall::bench
