#include "route/crash_guard.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"

#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds connectTimeout{400}; // As in upstream_call.
constexpr milliseconds initialKeepAlive{2'000}; // Until an answer gives the upstream's limit.

bool hasSharedPart(const proxy_job &job)
{
    return job.request.prompt.parts.size() > 1;
}

void updateAndTell(crash_guard &guard)
{
    if (guard.state.quarantine.news.empty())
        return;
    if (updateQuarantine(guard.state, guard.clock.now()))
        cancelHeldAttempts(guard);
    if (guard.newsListener)
        guard.newsListener();
}

} // namespace

void addAttempt(crash_guard &guard, proxy_job &job, const std::shared_ptr<upstream_call> &call)
{
    if (hasSharedPart(job))
        guard.running[&job] = call;
}

bool removeAttempt(crash_guard &guard, proxy_job &job)
{
    return guard.running.erase(&job) > 0;
}

void noteAnswered(crash_guard &guard, proxy_job &job)
{
    if (guard.running.erase(&job) == 0)
        return;
    recordAnswered(guard.state.quarantine, job.request.prompt, guard.clock.now());
    updateAndTell(guard);
}

void noteBytes(crash_guard &guard, const upstream_entry &entry, instant sent)
{
    crash_quarantine &quarantine = guard.state.quarantine;
    if (quarantine.suspects.empty())
        return;
    recordSurvival(quarantine, crashId(entry), sent, guard.clock.now());
    updateAndTell(guard);
}

asio::awaitable<void> noteLostConnection(crash_guard &guard, proxy_job &job,
                                         const upstream_entry &entry, bool wasAnswering)
{
    if (!hasSharedPart(job))
        co_return;
    const instant lostAt = guard.clock.now();
    if (!co_await guard.connections->isRefused(entry.address, connectTimeout, initialKeepAlive))
        co_return;
    crash_quarantine &quarantine = guard.state.quarantine;
    job.hasCrashedUpstream = wasAnswering && hasUnansweredPart(quarantine, job.request.prompt);
    recordCrash(quarantine, crashId(entry), job.request.prompt, wasAnswering, lostAt);
    logWarning("upstream crashed",
               {{"upstream", entry.id},
                {"request", job.request.id},
                {"prompt", wasAnswering ? "answering" : "waiting"},
                {"perhaps_the_cause", job.hasCrashedUpstream ? "yes" : "no"}});
    updateAndTell(guard);
}

std::optional<held_trait> findHeldTrait(crash_guard &guard, const proxy_job &job)
{
    if (!isHeld(guard.state.quarantine, job.request.prompt))
        return std::nullopt;
    std::vector<host_address> others;
    for (const host_announcement &peer : guard.state.peers)
        others.push_back(peer.peer);
    return findHeldTrait(guard.state.quarantine, job.request.prompt, guard.self, others,
                         guard.clock.now());
}

void cancelHeldAttempts(crash_guard &guard)
{
    std::vector<std::shared_ptr<upstream_call>> cancelled;
    for (auto &[job, call] : guard.running) {
        const auto alive = call.lock();
        if (!alive || !isHeld(guard.state.quarantine, job->request.prompt))
            continue;
        job->isHeldBack = true;
        cancelled.push_back(alive);
    }
    for (const auto &call : cancelled)
        call->cancel();
}

error heldBackError(const held_trait &held)
{
    return {result_code::promptHeldBack,
            std::to_string(held.crashes) + " upstreams crashed under prompts with part "
                + formatTraitId(held.part)};
}

} // namespace quincefall
