#include "route/answer_end.h"

#include "kernel/asio_headers.h"
#include "route/request_digest.h"
#include "route/running_attempt.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

/// Whether the answer may end with its connection alone, as far as is known of the service.
bool mayLackFraming(const running_attempt &attempt)
{
    const service_pool &pool = attempt.context.state.pools[attempt.entry.service];
    const instant now = attempt.context.clock.now();
    if (!attempt.job.choice.route->isStream)
        return quincefall::mayLackFraming(pool.answerFraming, now);
    // A stream may outlast the ones that show how the service's streams end.
    return framingKind(pool.framing, now) != stream_framing_kind::framed
        || hasLackedFraming(pool.answerFraming, now);
}

bool isLeaving(const running_attempt &attempt)
{
    const routed_upstream *target = attempt.upstream();
    return !target || target->listed.isLeaving;
}

run_end endOf(running_attempt &attempt)
{
    attempt.noteWait();
    run_end end;
    end.isFramed = !attempt.call->endsWithConnection();
    end.hasWholeRequest = attempt.call->sendProgress() == send_progress::received;
    end.isLeaving = isLeaving(attempt);
    end.timeLeft = attempt.job.end() - attempt.context.clock.now();
    end.longestWait = attempt.job.longestWait;
    const route_rule &route = *attempt.job.choice.route;
    end.expectedWait = std::max(route.targetLatency, route.gapTarget);
    end.isDeclared = attempt.context.trustsClosedEnds;
    end.isAnnounced = attempt.call->announcesEnd();
    end.longestUnread = std::max(attempt.call->longestUnread(), attempt.longestUnread);
    return end;
}

/// The upstreams of the runs that ended where this one does, if it does so too.
std::vector<std::uint64_t> runEndsWith(const running_attempt &attempt)
{
    std::vector<std::uint64_t> upstreams = attempt.job.runEnds;
    upstreams.push_back(nameHash(attempt.entry.id));
    return upstreams;
}

/// Whether the upstream's process is known to have outlived the answer.
asio::awaitable<bool> hasOutlivedAnswer(running_attempt &attempt)
{
    const microseconds left = attempt.job.end() - attempt.context.clock.now();
    const bool isAlive = co_await attempt.probe->isAlive(left);
    attempt.sign = isAlive ? life_sign::answered : life_sign::unanswered;
    co_return isAlive;
}

/// The same once a process that ended the answer because it stops no longer runs.
asio::awaitable<bool> hasLivedOn(running_attempt &attempt)
{
    const microseconds left = attempt.job.end() - attempt.context.clock.now();
    if (left < stopTime)
        co_return false;
    attempt.noteWorkEnd();
    asio::steady_timer timer(attempt.context.paths->context(), stopTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return co_await hasOutlivedAnswer(attempt);
}

/// Whether the process that ended the earlier run is known to have ended since.
asio::awaitable<bool> hasEarlierUpstreamEnded(running_attempt &attempt)
{
    const auto earlier = attempt.job.earlierProbe;
    if (!earlier)
        co_return false;
    const microseconds left = attempt.job.end() - attempt.context.clock.now();
    co_return !co_await earlier->isAlive(left);
}

asio::awaitable<answer_proof> prove(running_attempt &attempt, run_end end)
{
    if (!end.isFramed)
        attempt.sign = life_sign::unconnected;
    end.hasOutlived = !end.isFramed && attempt.probe && co_await hasOutlivedAnswer(attempt);
    if (end.isConfirmed && end.hasOutlived)
        end.isConfirmed = !co_await hasEarlierUpstreamEnded(attempt);
    if (proofOf(end) == answer_proof::announcement) {
        end.hasOutlived = co_await hasLivedOn(attempt);
        end.isLeaving = isLeaving(attempt);
    }
    attempt.proof = proofOf(end);
    co_return attempt.proof;
}

} // namespace

bool needsProbe(const running_attempt &attempt)
{
    const proxy_job &job = attempt.job;
    const auto &framing = attempt.context.state.pools[attempt.entry.service].framing;
    // Runs agree only where the service is known to frame nothing, and only one that was not killed
    // has an end with which a further one may agree.
    const bool isUnframed
        = framingKind(framing, attempt.context.clock.now()) == stream_framing_kind::unframed;
    const bool mayAgree = job.unframedAnswer
        || (job.choice.route->isResumable && (job.events.hasEndedHere || isUnframed));
    const auto &answers = attempt.context.state.pools[attempt.entry.service].answerFraming;
    return hasAnnouncedEnds(answers, attempt.context.clock.now())
        || ((mayAgree || attempt.context.trustsClosedEnds) && mayLackFraming(attempt));
}

void noteAnnouncedEnd(running_attempt &attempt)
{
    if (!attempt.call->endsWithConnection() || !attempt.call->announcesEnd())
        return;
    recordAnnouncedEnd(attempt.context.state.pools[attempt.entry.service].answerFraming,
                       attempt.context.clock.now());
    if (!attempt.probe)
        attempt.probe = attempt.context.probes->findOpenedBefore(attempt.entry, attempt.started);
}

asio::awaitable<answer_proof> proveStream(running_attempt &attempt)
{
    run_end end = endOf(attempt);
    if (!end.isFramed) {
        stream_framing_history &framing
            = attempt.context.state.pools[attempt.entry.service].framing;
        const instant now = attempt.context.clock.now();
        end.mayBeFramed = mayFrameStreams(framing, now);
        recordFraming(framing, false, now);
        end.isConfirmed
            = endsWhereRunEnded(attempt.job.events) && confirmEachOther(runEndsWith(attempt));
    }
    co_return co_await prove(attempt, end);
}

asio::awaitable<answer_proof> proveWholeAnswer(running_attempt &attempt, int status,
                                               std::string_view body)
{
    run_end end = endOf(attempt);
    recordAnswer(attempt.context.state.pools[attempt.entry.service].answerFraming, end.isFramed,
                 attempt.context.clock.now());
    if (!end.isFramed) {
        const std::string number = std::to_string(status);
        const std::array<std::string_view, 2> parts{number, body};
        const std::uint64_t digest = digestOf(parts);
        proxy_job &job = attempt.job;
        // Runs may all be ended before they bring anything.
        const bool canCount = end.hasWholeRequest && !body.empty();
        if (canCount && job.unframedAnswer != digest) {
            job.unframedAnswer = digest;
            job.runEnds.clear();
        }
        const auto upstreams = runEndsWith(attempt);
        end.isConfirmed = canCount && confirmEachOther(upstreams);
        if (canCount && upstreams.size() <= maxRunEnds)
            job.runEnds = upstreams;
    }
    co_return co_await prove(attempt, end);
}

} // namespace quincefall
