#include "route/crash_guard.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

// A request that was at more crashes is not repeated at a further upstream.
constexpr std::size_t maxCrashesForRepeat = 1;

std::vector<request_trait> traitsOf(const proxy_job &job, bool wholeRequests)
{
    std::vector<request_trait> traits;
    std::copy_if(job.traits.begin(), job.traits.end(), std::back_inserter(traits),
                 [wholeRequests](const request_trait &trait) {
                     return trait.isWholeRequest == wholeRequests;
                 });
    return traits;
}

void updateAndTell(crash_guard &guard)
{
    crash_quarantine &quarantine = guard.state.quarantine;
    if (quarantine.news.empty() && quarantine.keeperNews.empty())
        return;
    if (updateQuarantine(guard.state, guard.clock.now()))
        cancelHeldAttempts(guard);
    if (guard.newsListener)
        guard.newsListener();
}

/// Whether a later process than that of @p entry is listed.
bool isReplaced(const crash_guard &guard, const upstream_entry &entry)
{
    const auto pool = guard.state.pools.find(entry.service);
    return pool != guard.state.pools.end()
        && std::any_of(
               pool->second.upstreams.begin(), pool->second.upstreams.end(),
               [&entry](const auto &row) { return isLaterStart(row.second.listed, entry); });
}

} // namespace

void addAttempt(crash_guard &guard, proxy_job &job, const std::shared_ptr<upstream_call> &call)
{
    guard.running[&job] = call;
}

bool removeAttempt(crash_guard &guard, proxy_job &job)
{
    return guard.running.erase(&job) > 0;
}

void noteGoingOn(crash_guard &guard, proxy_job &job)
{
    if (guard.running.erase(&job) == 0)
        return;
    recordAnswered(guard.state.quarantine, traitsOf(job, false), guard.clock.now());
    updateAndTell(guard);
}

void noteAnswered(crash_guard &guard, proxy_job &job)
{
    guard.running.erase(&job);
    recordAnswered(guard.state.quarantine, job.traits, guard.clock.now());
    updateAndTell(guard);
}

void noteBytes(crash_guard &guard, const upstream_entry &entry, instant sent)
{
    crash_quarantine &quarantine = guard.state.quarantine;
    if (quarantine.recentCrashes.empty() && quarantine.losses.empty())
        return;
    recordSurvival(quarantine, crashId(entry), sent, guard.clock.now());
    updateAndTell(guard);
}

asio::awaitable<void> noteLostConnection(crash_guard &guard, proxy_job &job,
                                         const upstream_entry &entry, lost_attempt lost)
{
    const instant lostAt = guard.clock.now();
    const life_sign sign = co_await guard.paths->checkListening(entry);
    crash_quarantine &quarantine = guard.state.quarantine;
    const auto traits = lost.hasGoneOn ? traitsOf(job, true) : job.traits;
    const upstream_crash crash{crashId(entry), lost.sent, lost.wasAnswering};
    if (sign != life_sign::refused) {
        // Sound upstreams that frame nothing end each answer so, and are replaced now and then.
        if (!lost.hasBrokenOff)
            co_return;
        if (!isReplaced(guard, entry)) {
            recordLoss(quarantine, {entry, crash, traits, lostAt});
            co_return;
        }
    }
    recordCrash(quarantine, crash, traits, lostAt);
    const std::size_t crashes = crashesOfRequest(quarantine, traits);
    const bool isPartSuspect = lost.wasAnswering && hasUnansweredPart(quarantine, traits);
    job.mayCrashUpstreams = isPartSuspect || crashes > maxCrashesForRepeat;
    std::string digest;
    for (const request_trait &trait : traitsOf(job, true))
        digest = formatTraitId(trait.id);
    logWarning("upstream crashed",
               {{"upstream", entry.id},
                {"request", job.request.id},
                {"digest", digest},
                {"crashes_of_request", std::to_string(crashes)},
                {"answer",
                 lost.hasGoneOn          ? "going-on"
                     : lost.wasAnswering ? "begun"
                                         : "waiting"},
                {"perhaps_the_cause", job.mayCrashUpstreams ? "yes" : "no"}});
    updateAndTell(guard);
}

void applyCrashNews(crash_guard &guard)
{
    updateAndTell(guard);
}

std::optional<held_trait> findHeldTrait(crash_guard &guard, const proxy_job &job)
{
    if (!isHeld(guard.state.quarantine, job.traits))
        return std::nullopt;
    std::vector<host_address> others;
    for (const host_announcement &peer : guard.state.peers)
        others.push_back(peer.peer);
    return findHeldTrait(guard.state.quarantine, job.traits, guard.self, others, guard.clock.now());
}

void cancelHeldAttempts(crash_guard &guard)
{
    std::vector<std::shared_ptr<upstream_call>> cancelled;
    for (auto &[job, call] : guard.running) {
        const auto alive = call.lock();
        if (!alive || !isHeld(guard.state.quarantine, job->traits))
            continue;
        job->isHeldBack = true;
        cancelled.push_back(alive);
    }
    for (const auto &call : cancelled)
        call->cancel();
}

error heldBackError(const held_trait &held)
{
    const std::string crashes = std::to_string(held.crashes) + " upstreams crashed under ";
    if (held.isWholeRequest)
        return {result_code::requestHeldBack, crashes + "request " + formatTraitId(held.id)};
    return {result_code::promptHeldBack, crashes + "prompts with part " + formatTraitId(held.id)};
}

} // namespace quincefall
