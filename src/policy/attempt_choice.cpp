#include "policy/attempt_choice.h"

#include "policy/probation.h"

#include <cstdint>

namespace quincefall {
namespace {

// Upstreams tried for one request; after the last one the host answers the caller itself.
constexpr std::size_t maxUpstreamsTried = 3;
// With less time than this left, no upstream can answer.
constexpr milliseconds minUsefulTime{10};
// Upstreams that fall silent together did not send their last bytes at the same moment.
constexpr int heardWithinDivisor = 2;
// An upstream that has sent something within this time is slow rather than silent.
constexpr milliseconds minSilence{700};

attempt_refusal refusalByUpstreams(const further_attempt_request &request,
                                   const further_upstreams &upstreams)
{
    if (upstreams.usable == 0)
        return attempt_refusal::upstreams;
    if (upstreams.ofVersion == 0)
        return attempt_refusal::version;
    // Once the attempt has ended, a silent upstream is better than none. Over a cut link all
    // upstreams are silent, and the next attempt goes through another host.
    if (!request.isRunning || request.isLinkFault)
        return attempt_refusal::none;
    const std::size_t alive = request.isTrickling ? upstreams.notSilent : upstreams.heard;
    return alive == 0 ? attempt_refusal::silence : attempt_refusal::none;
}

} // namespace

further_upstreams countFurtherUpstreams(service_pool &pool, const placement_request &wanted,
                                        const placement_site &site, fleet_load &others,
                                        microseconds silence, instant now)
{
    updateAcceptance(pool, wanted, site, others, now);
    further_upstreams counts;
    for (const auto &[id, upstream] : pool.upstreams) {
        if (!isEligible(upstream, wanted, now))
            continue;
        ++counts.usable;
        if (!hasWantedVersion(upstream, wanted))
            continue;
        ++counts.ofVersion;
        if (msSinceLastByte(upstream, now) >= toMilliseconds(silence / heardWithinDivisor))
            continue;
        ++counts.notSilent;
        if (!upstream.isDisconnected && !isWithheld(upstream, now))
            ++counts.heard;
    }
    return counts;
}

attempt_refusal refusalOfFurtherAttempt(const further_attempt_request &request,
                                        const further_upstreams &upstreams)
{
    if (request.isHeldBack)
        return attempt_refusal::heldBack;
    if (request.mayHaveRun && (!request.isRepeatable || request.runs >= request.maxRuns))
        return attempt_refusal::route;
    if (request.mayHaveRun && !request.isContinuable)
        return attempt_refusal::position;
    if (request.upstreamsTried >= maxUpstreamsTried)
        return attempt_refusal::tried;
    if (request.timeLeft < minUsefulTime)
        return attempt_refusal::time;
    return refusalByUpstreams(request, upstreams);
}

bool detectSharedSilence(shared_silences &recent, const service_pool &pool,
                         const routed_upstream &upstream, instant now)
{
    const double silentMs = msSinceLastByte(upstream, now);
    if (silentMs < toMilliseconds(minSilence))
        return false;
    const microseconds silence(std::int64_t(silentMs * 1000));
    std::erase_if(recent, [&](const auto &row) { return now - row.second > silence; });
    bool isShared = false;
    for (const auto &[id, other] : pool.upstreams) {
        if (&other == &upstream)
            continue;
        if (other.lastByteAt > now - silence / heardWithinDivisor)
            return false;
        const auto ended = recent.find(id);
        isShared = isShared || msSinceLastByte(other, now) * heardWithinDivisor >= silentMs
            || (ended != recent.end() && ended->second > other.lastByteAt);
    }
    if (isShared)
        recent[upstream.listed.id] = now;
    return isShared;
}

std::string_view toString(attempt_refusal refusal)
{
    switch (refusal) {
    case attempt_refusal::heldBack:
        return "it may be what crashed its upstream";
    case attempt_refusal::route:
        return "the route allows no further one";
    case attempt_refusal::position:
        return "the last event that was passed on has no id";
    case attempt_refusal::tried:
        return "as many upstreams were tried as may be";
    case attempt_refusal::time:
        return "no time is left";
    case attempt_refusal::upstreams:
        return "no other upstream is usable";
    case attempt_refusal::version:
        return "no other usable upstream has the software version of the stream";
    case attempt_refusal::silence:
        return "the other usable upstreams are silent as well";
    case attempt_refusal::budget:
        return "the attempt budget is used up";
    case attempt_refusal::none:
        break;
    }
    return "none";
}

} // namespace quincefall
