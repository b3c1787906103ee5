#include "route/routing_state.h"

#include "clients/compression.h"
#include "kernel/elapsed_time.h"
#include "observe/log_setup.h"

#include <array>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <span>
#include <utility>

namespace quincefall {
namespace {

/// Copies what the upstream told in its answers to its state in the pool.
void copyNotice(const upstream_notices &notices, routed_upstream &upstream, instant now)
{
    upstream.listed.isLeaving = isLeaving(notices, upstream.listed);
    const upstream_notice *notice = findNotice(notices, upstream.listed);
    upstream.pausedUntil = notice ? notice->pausedUntil : instant::min();
    upstream.othersPausedUntil = notice ? notice->othersPausedUntil : instant::min();
    upstream.maxRejections = notice ? notice->maxRejections.perSecond : std::nullopt;
    setLimit(upstream.limit, notice ? notice->limit.perSecond : std::nullopt, now);
}

bool recordNotice(routing_state &state, const upstream_entry &entry, const told_notice &told,
                  notice_source source, instant now)
{
    upstream_notices &notices = state.membership.notices;
    const char *heardFrom = source == notice_source::ownAnswer ? "answer" : "host";
    const bool isNewLeaving = told.isLeaving && recordLeaving(notices, entry, source, now);
    const bool isNewPause = recordPause(notices, entry, told.pause, source, now);
    const bool isNewLimit = told.limitAge
        && recordLimit(notices, entry, {told.limit, now - *told.limitAge}, source, now);
    const bool isNewBrittleness = told.maxRejectionsAge
        && recordMaxRejections(notices, entry, {told.maxRejections, now - *told.maxRejectionsAge},
                               source, now);
    if (isNewBrittleness)
        logInfo("upstream named the rejections that it withstands",
                {{"upstream", entry.id},
                 {"source", heardFrom},
                 {"per_second", told.maxRejections ? std::to_string(*told.maxRejections) : "any"}});
    if (isNewLimit)
        logInfo("upstream named a limit",
                {{"upstream", entry.id},
                 {"source", heardFrom},
                 {"per_second", told.limit ? std::to_string(*told.limit) : "none"}});
    if (isNewLeaving)
        logInfo("upstream says it is leaving", {{"upstream", entry.id}, {"source", heardFrom}});
    if (isNewPause)
        logInfo("upstream asked for a pause",
                {{"upstream", entry.id},
                 {"source", heardFrom},
                 {"pause_ms", std::to_string(told.pause.count())}});
    if (routed_upstream *upstream = findUpstream(state, entry))
        copyNotice(notices, *upstream, now);
    return isNewLeaving || isNewPause || isNewLimit || isNewBrittleness;
}

void applyListing(routing_state &state, const upstream_entry &entry,
                  const std::function<void(const host_address &)> &onGone, instant now)
{
    auto &upstreams = state.pools[entry.service].upstreams;
    const auto [row, isNew] = upstreams.try_emplace(entry.id);
    routed_upstream &upstream = row->second;
    if (!isNew
        && (upstream.listed.started != entry.started || upstream.listed.address != entry.address)) {
        onGone(upstream.listed.address);
        resetAfterRestart(upstream);
    }
    const bool isChanged = isNew || upstream.listed.started != entry.started
        || upstream.listed.isLeaving != isLeaving(state.membership.notices, entry);
    upstream.listed = entry;
    copyNotice(state.membership.notices, upstream, now);
    if (const std::size_t lost = recordListing(state.quarantine, entry, now); lost > 0)
        logWarning("upstream had crashed",
                   {{"upstream", entry.id}, {"lost_requests", std::to_string(lost)}});
    if (isChanged)
        logInfo("upstream listed",
                {{"upstream", entry.id},
                 {"service", entry.service},
                 {"address", toString(entry.address)},
                 {"leaving", upstream.listed.isLeaving ? "yes" : "no"},
                 {"started", std::to_string(entry.started)}});
}

/// Records the moves from @p before through @p earlier to @p newest. Returns the version that
/// @p newest replaces.
std::uint64_t recordSteps(service_moves &moves, const desired_state *before,
                          std::span<const desired_state> earlier, const desired_state &newest,
                          instant now)
{
    for (const desired_state &step : earlier) {
        if (before && step.version <= before->version)
            continue;
        recordMoves(moves, before, step, now);
        before = &step;
    }
    recordMoves(moves, before, newest, now);
    return before ? before->version : newest.version;
}

void updatePoolVersions(const std::string &service, service_pool &pool, const clock_source &clock)
{
    std::vector<listed_version> versions;
    for (const auto &[id, upstream] : pool.upstreams) {
        versions.push_back(
            {upstream.listed.softwareVersion, elapsed(upstream.listed.started, clock.wall())});
    }
    const std::set<std::string> before = pool.versions.listed;
    updateVersions(pool.versions, versions, clock.now());
    if (pool.versions.listed == before)
        return;
    std::string names;
    for (const std::string &version : pool.versions.listed)
        names += (names.empty() ? "" : ",") + version;
    logInfo("software versions listed", {{"service", service}, {"versions", names}});
}

} // namespace

routed_upstream *findUpstream(routing_state &state, const upstream_entry &entry)
{
    const auto pool = state.pools.find(entry.service);
    if (pool == state.pools.end())
        return nullptr;
    const auto row = pool->second.upstreams.find(entry.id);
    return row == pool->second.upstreams.end() ? nullptr : &row->second;
}

bool applyDesired(routing_state &state, desired_update update, instant now)
{
    const desired_state &desired = update.newest;
    if (state.desired && desired.version <= state.desired->version)
        return false;
    const std::uint64_t before = state.desired ? state.desired->version : 0;
    logInfo("desired state in force",
            {{"version", std::to_string(desired.version)},
             {"before", std::to_string(before)},
             {"complete", update.isComplete ? "yes" : "no"},
             {"routes", std::to_string(desired.routes.size())},
             {"services", std::to_string(desired.services.size())}});
    const std::uint64_t replaced
        = recordSteps(state.moves, state.desired.get(), update.earlier, desired, now);
    if (state.desired && !update.isComplete)
        noteMissedStates(state.moves, now);
    state.desiredBefore = state.desired && update.isComplete ? replaced : desired.version;
    state.desired = std::make_shared<const desired_state>(std::move(update.newest));
    state.desiredCompressed
        = update.compressed.empty() ? compress(update.text) : std::move(update.compressed);
    state.desiredText = std::move(update.text);
    state.desiredConfirmedAt = now;
    return true;
}

bool applyAnswerNotice(routing_state &state, const upstream_entry &entry, const answer_notice &said,
                       instant now)
{
    if (!said.isLeaving && said.pause.count() <= 0 && !said.limit && !said.maxRejections)
        return false;
    told_notice told;
    told.upstream = entry.id;
    told.started = entry.started;
    told.isLeaving = said.isLeaving;
    told.pause = std::chrono::ceil<milliseconds>(said.pause);
    if (said.limit) {
        told.limit = said.limit->perSecond;
        told.limitAge = milliseconds(0);
    }
    if (said.maxRejections) {
        told.maxRejections = said.maxRejections->perSecond;
        told.maxRejectionsAge = milliseconds(0);
    }
    return recordNotice(state, entry, told, notice_source::ownAnswer, now);
}

void applyNotice(routing_state &state, const told_notice &notice, instant now)
{
    const auto listing = state.membership.listings.find(notice.upstream);
    const bool isListed = listing != state.membership.listings.end()
        && listing->second.entry.started == notice.started;
    if (isListed)
        recordNotice(state, listing->second.entry, notice, notice_source::otherHost, now);
}

std::string formatAge(instant since, instant now)
{
    return since == instant::min() ? "none"
                                   : std::to_string(std::lround(toMilliseconds(now - since)));
}

std::string formatTraitId(std::uint64_t id)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, id);
    return text.data();
}

bool updateQuarantine(routing_state &state, instant now)
{
    bool isNewlyHeld = false;
    for (const std::uint64_t trait : updateHeldTraits(state.quarantine, now)) {
        const suspected_trait &suspect = state.quarantine.suspects.at(trait);
        const std::string kind = suspect.isWholeRequest ? "digest" : "part";
        if (!suspect.isHeld) {
            logInfo(suspect.isWholeRequest ? "request released" : "prompt part released",
                    {{kind, formatTraitId(trait)}});
            continue;
        }
        isNewlyHeld = true;
        std::string crashes;
        for (const crash_evidence &evidence : suspect.crashes) {
            crashes += crashes.empty() ? "" : ",";
            crashes += formatTraitId(evidence.crash)
                + (evidence.wasAnswering ? ":answering" : ":waiting") + ":"
                + std::to_string(std::lround(toMilliseconds(now - evidence.at))) + "ms";
        }
        logWarning(suspect.isWholeRequest ? "request held back" : "prompt part held back",
                   {{kind, formatTraitId(trait)},
                    {"crashes", crashes},
                    {"answered_before", suspect.answeredAt == instant::min() ? "no" : "yes"}});
    }
    return isNewlyHeld;
}

void updatePools(routing_state &state, const std::function<void(const host_address &)> &onGone,
                 const clock_source &clock)
{
    const instant now = clock.now();
    for (auto &[service, pool] : state.pools) {
        for (auto row = pool.upstreams.begin(); row != pool.upstreams.end();) {
            const auto listing = state.membership.listings.find(row->first);
            const bool isListed = listing != state.membership.listings.end()
                && listing->second.entry.service == service;
            if (isListed) {
                ++row;
                continue;
            }
            logInfo("upstream gone", {{"upstream", row->first}, {"service", service}});
            onGone(row->second.listed.address);
            row = pool.upstreams.erase(row);
        }
    }
    for (const auto &[id, listing] : state.membership.listings)
        applyListing(state, listing.entry, onGone, now);
    for (auto &[service, pool] : state.pools)
        updatePoolVersions(service, pool, clock);
}

} // namespace quincefall
