#include "policy/pool_scheduler.h"

#include <algorithm>
#include <set>

namespace quincefall {
namespace {

// Requests wait for an upstream in their own region for half of their first-token target.
constexpr int crossRegionDivisor = 2;
constexpr double firstTokenQuantile = 0.9;
constexpr std::uint32_t minTokensForRate = 10; // In an answer, to estimate the upstream's rate.
constexpr seconds overdueProbeAge{3}; // Then higher tiers probe as well; see selectUpstream().
// How much more loaded than the best upstream a holder of the cached prefix may be, as a share of
// its slots.
constexpr double affinityLoadBound = 0.25;
constexpr double defaultTokens = 200; // Charged at the start while there is no estimate.

bool isLocal(const work_item &item, std::string_view region)
{
    return item.entryRegion.empty() || item.entryRegion == region;
}

bool canServeLocally(const pool_state &state, const work_item &item)
{
    const auto &records = state.upstreams.records;
    return std::any_of(records.begin(), records.end(), [&item](const auto &entry) {
        return isLocal(item, entry.second.info.region) && canServe(entry.second, item);
    });
}

bool mayCross(pool_state &state, const work_item &item, instant now)
{
    const class_policy &policy = classQueue(state.queue, item.serviceClass).policy;
    if (now - item.arrival < policy.firstTokenTarget / crossRegionDivisor
        && canServeLocally(state, item))
        return false;
    return mayUseLink(state.link, policy.tier == 1, now);
}

/// The least loaded upstream in the region of @p best that holds the request's cached prefix, or
/// null when none is within `affinityLoadBound` of @p best.
const upstream_record *cacheHolderNear(const pool_state &state, const work_item &item,
                                       const upstream_record &best)
{
    const auto *holders = holdersOf(state.prefixes, item.prefixHash);
    if (holders == nullptr)
        return nullptr;
    const upstream_record *chosen = nullptr;
    for (const std::string &name : *holders) {
        const auto found = state.upstreams.records.find(name);
        if (found == state.upstreams.records.end() || !found->second.isAvailable)
            continue;
        const upstream_record &record = found->second;
        if (record.info.region != best.info.region || !canServe(record, item)
            || record.rank > best.rank + affinityLoadBound)
            continue;
        if (chosen == nullptr || record.rank < chosen->rank)
            chosen = &record;
    }
    return chosen;
}

const upstream_record *chooseUpstream(pool_state &state, const work_item &item, bool local)
{
    const upstream_record *best = nullptr;
    for (const auto &[region, names] : state.upstreams.available) {
        if (isLocal(item, region) != local)
            continue;
        const upstream_record *found = state.plan.powerOfTwoChoices
            ? lessLoadedOfTwoIn(state.upstreams, region, item, state.random)
            : leastLoadedIn(state.upstreams, region, item);
        if (found != nullptr && (best == nullptr || found->rank < best->rank))
            best = found;
    }
    const upstream_record *holder = best == nullptr ? nullptr : cacheHolderNear(state, item, *best);
    return holder == nullptr ? best : holder;
}

const upstream_record *usableProbe(pool_state &state, const work_item &item, microseconds overdue,
                                   instant now)
{
    const upstream_record *probe = dueProbe(state.upstreams, item, overdue, now);
    if (probe == nullptr || isLocal(item, probe->info.region) || mayCross(state, item, now))
        return probe;
    return nullptr;
}

std::string selectUpstream(pool_state &state, const work_item &item, instant now)
{
    if (!isBelowLimit(state.organisations, item.organisation))
        return {};
    // The lowest tier takes probes as soon as they are due. A higher tier takes an overdue one
    // first, as the lowest tier may have no demand, and any due one when it finds no other slot, so
    // that a lower tier doesn't start there ahead of it.
    const bool isLowest
        = classQueue(state.queue, item.serviceClass).policy.tier >= state.lowestTier;
    const microseconds minOverdue = isLowest ? microseconds(0) : overdueProbeAge;
    const upstream_record *chosen = usableProbe(state, item, minOverdue, now);
    if (chosen == nullptr)
        chosen = chooseUpstream(state, item, true);
    if (chosen == nullptr && mayCross(state, item, now))
        chosen = chooseUpstream(state, item, false);
    if (chosen == nullptr)
        chosen = usableProbe(state, item, {}, now);
    return chosen == nullptr ? std::string() : chosen->info.name;
}

std::set<int> waitingTiers(const pool_state &state)
{
    std::set<int> tiers;
    for (const auto &[name, queue] : state.queue.classes) {
        if (queue.size > 0)
            tiers.insert(queue.policy.tier);
    }
    return tiers;
}

/// Records which waiting tiers above @p tier could have used the slot on @p upstream.
void recordOvertakenTiers(pool_state &state, int tier, const std::string &upstream,
                          start_reason reason, instant now)
{
    const upstream_selector sameUpstream = [&](const work_item &item) {
        const upstream_record &record = state.upstreams.records.find(upstream)->second;
        const bool usable = canServe(record, item)
            && (isLocal(item, record.info.region) || mayCross(state, item, now))
            && isBelowLimit(state.organisations, item.organisation);
        return usable ? upstream : std::string();
    };
    bool overtaken = false;
    for (const int other : waitingTiers(state)) {
        if (other >= tier)
            break;
        if (nextOfTier(state.queue, other, now, sameUpstream)) {
            recordOvertaken(state.rule, other, reason, now);
            overtaken = true;
        }
    }
    if (!overtaken)
        return;
    state.rule.shareStarts += reason == start_reason::share ? 1 : 0;
    state.rule.floorStarts += reason == start_reason::floor ? 1 : 0;
}

void start(pool_state &state, const start_candidate &candidate, start_reason reason, instant now,
           decisions &out)
{
    class_queue &queue = *candidate.queue;
    upstream_record &upstream = state.upstreams.records.find(candidate.upstream)->second;
    recordOvertakenTiers(state, queue.policy.tier, candidate.upstream, reason, now);
    attempt_record attempt{*dequeue(state.queue, candidate.item->id), now, 0};
    attempt.chargedTokens = expectedTokens(state.lengths, attempt.item.serviceClass,
                                           attempt.item.model, defaultTokens);
    const std::string &organisation = attempt.item.organisation;
    chargeOrganisation(queue, organisation, attempt.chargedTokens,
                       weightOf(state.organisations, organisation));
    countStart(state.organisations, organisation);
    ++state.rule.running[attempt.item.serviceClass];
    queue.starvedSince = now;
    recordStart(state.drain, queue.policy.tier, now);
    if (upstream.withheld)
        delayProbe(upstream.health, now);
    if (!isLocal(attempt.item, upstream.info.region)) {
        const double tokens = std::max(0.0, attempt.chargedTokens - attempt.item.resumeFrom);
        chargeLink(state.link, estimatedLinkBytes(attempt.item.promptTokens, tokens));
    }
    recordPrefix(state.prefixes, candidate.upstream, attempt.item.prefixHash);
    const std::uint64_t permit = state.nextPermit++;
    out.grants.push_back({attempt.item.id, attempt.item.entryHost, permit, candidate.upstream});
    addAttempt(state.upstreams, upstream, permit, std::move(attempt), now);
}

bool startGuaranteed(pool_state &state, const upstream_selector &select, instant now,
                     decisions &out)
{
    for (const start_reason wanted : {start_reason::floor, start_reason::share}) {
        for (auto &[name, queue] : state.queue.classes) {
            if (guaranteedStart(state.rule, state.queue, queue, state.upstreams.capacity, now)
                != wanted)
                continue;
            if (const auto candidate = nextOfClass(queue, now, select)) {
                start(state, *candidate, wanted, now, out);
                return true;
            }
        }
    }
    return false;
}

bool startInOrder(pool_state &state, const upstream_selector &select, instant now, decisions &out)
{
    for (const int tier : waitingTiers(state)) {
        if (const auto candidate = nextOfTier(state.queue, tier, now, select)) {
            start(state, *candidate, start_reason::tierOrder, now, out);
            return true;
        }
    }
    return false;
}

void assign(pool_state &state, instant now, decisions &out)
{
    const upstream_selector selectNow
        = [&state, now](const work_item &item) { return selectUpstream(state, item, now); };
    while (hasFreeSlot(state.upstreams) && !state.queue.byId.empty()) {
        const bool started = startGuaranteed(state, selectNow, now, out)
            || startInOrder(state, selectNow, now, out);
        if (!started)
            break;
    }
}

decisions makeAssignments(pool_state &state, instant now)
{
    decisions out;
    assign(state, now, out);
    return out;
}

bool isServable(const pool_state &state, const work_item &item)
{
    const auto &records = state.upstreams.records;
    return std::any_of(records.begin(), records.end(),
                       [&item](const auto &entry) { return canServe(entry.second, item); });
}

refusal makeRefusal(const pool_state &state, const work_item &item, result_code otherwise)
{
    refusal refused{
        item.id, item.entryHost, otherwise, {}, "no free slot within the class's maximum wait"};
    if (!isServable(state, item)) {
        refused.code = result_code::noUpstream;
        refused.detail = "no upstream serves the request";
    } else if (!isBelowLimit(state.organisations, item.organisation)) {
        refused.code = result_code::organisationLimit;
        refused.detail = "the organisation has reached its limit of running requests";
    }
    return refused;
}

void refuse(pool_state &state, const work_item &item, result_code code, instant now, decisions &out)
{
    class_queue &queue = classQueue(state.queue, item.serviceClass);
    const class_policy &policy = queue.policy;
    refusal refused = makeRefusal(state, item, code);
    const double rate = drainRateForTier(state.drain, policy.tier, now);
    const double ahead = requestsAhead(state.queue, state.organisations, queue, item.organisation);
    refused.retryAfter = retryAfter(state.retrySchedule, policy.tier, expectedWait(ahead, rate),
                                    policy.firstTokenTarget, rate, now);
    recordShed(state.rule, policy.tier, item.arrival, now);
    out.refusals.push_back(std::move(refused));
}

void refuseExpired(pool_state &state, instant now, decisions &out)
{
    for (;;) {
        const std::string_view id = nextExpired(state.queue, now);
        if (id.empty())
            return;
        const auto item = dequeue(state.queue, id);
        refuse(state, *item, result_code::deadlineUnreachable, now, out);
    }
}

/// Whether the waiting request @p item would exceed its class's `maxWait` because of the requests
/// of its own and higher tiers ahead of it. False for a resumed one and for the only one of its
/// class.
bool willExceedMaxWait(pool_state &state, const work_item &item, instant now)
{
    const class_queue &queue = classQueue(state.queue, item.serviceClass);
    if (queue.size == 1 || item.resumeFrom > 0)
        return false;
    const double others
        = requestsAhead(state.queue, state.organisations, queue, item.organisation) - 1;
    const double rate = drainRateForTier(state.drain, queue.policy.tier, now);
    return now + expectedWait(others, rate) > item.arrival + queue.policy.maxWait;
}

void endAttempt(pool_state &state, const attempt_record &attempt, double tokens)
{
    const work_item &item = attempt.item;
    countEnd(state.organisations, item.organisation);
    std::uint32_t &running = state.rule.running[item.serviceClass];
    running -= running > 0 ? 1 : 0;
    chargeOrganisation(classQueue(state.queue, item.serviceClass), item.organisation,
                       tokens - attempt.chargedTokens,
                       weightOf(state.organisations, item.organisation));
}

/// Updates the upstream's health and token rate at the end of an attempt.
void updateHealth(pool_state &state, upstream_record &upstream, const completion &done, instant now)
{
    const double seconds = toMilliseconds(done.duration - done.timeToFirstToken) / 1000;
    if (done.failed) {
        recordFailure(upstream.health, now);
        dropHints(state.prefixes, upstream.info.name); // The upstream may have lost its cache.
    }
    if (!done.failed && !done.stopped)
        recordSuccess(upstream.health);
    if (!done.failed && !done.stopped && done.tokens >= minTokensForRate && seconds > 0)
        recordRate(upstream.health, state.upstreams.typicalRate, (done.tokens - 1) / seconds, now);
    refresh(state.upstreams, upstream);
}

/// Updates the estimates of answer length and first-token time from a complete answer.
void updateEstimates(pool_state &state, const attempt_record &attempt, const completion &done)
{
    if (done.failed || done.stopped || done.tokens == 0 || attempt.item.resumeFrom > 0)
        return;
    const work_item &item = attempt.item;
    recordAnswer(state.lengths, item.serviceClass, item.model, done.tokens, done.timeToFirstToken);
    class_queue &queue = classQueue(state.queue, item.serviceClass);
    queue.timeToFirstToken
        = timeToFirstToken(state.lengths, item.serviceClass, item.model, firstTokenQuantile);
}

} // namespace

decisions configure(pool_state &state, pool_plan plan, instant now)
{
    state.plan = std::move(plan);
    setClasses(state.queue, state.plan.classes, now);
    setUpstreams(state.upstreams, state.plan.upstreams);
    setOrganisations(state.organisations, state.plan.organisations);
    state.link.bytesPerSecond = state.plan.linkBytesPerSecond;
    state.link.partitioned = state.plan.regionsPartitioned;
    state.lowestTier = 1;
    for (const class_policy &policy : state.plan.classes)
        state.lowestTier = std::max(state.lowestTier, policy.tier);
    return advance(state, now);
}

decisions submit(pool_state &state, work_item item, instant now)
{
    decisions out;
    if (state.queue.byId.contains(item.id))
        return out;
    const work_item submitted = item;
    enqueue(state.queue, std::move(item), now);
    assign(state, now, out);
    if (state.queue.byId.contains(submitted.id) && willExceedMaxWait(state, submitted, now)) {
        dequeue(state.queue, submitted.id);
        refuse(state, submitted, result_code::overloaded, now, out);
    }
    return out;
}

decisions cancel(pool_state &state, std::string_view id, instant now)
{
    dequeue(state.queue, id);
    return makeAssignments(state, now);
}

decisions finish(pool_state &state, const completion &done, instant now)
{
    const auto found = state.upstreams.records.find(done.upstream);
    if (found == state.upstreams.records.end())
        return {};
    const auto attempt = removeAttempt(state.upstreams, found->second, done.permit, now);
    if (!attempt)
        return {};
    endAttempt(state, *attempt, done.tokens);
    updateHealth(state, found->second, done, now);
    updateEstimates(state, *attempt, done);
    return makeAssignments(state, now);
}

decisions reportSlow(pool_state &state, const slow_progress &progress, instant now)
{
    const auto found = state.upstreams.records.find(progress.upstream);
    if (found == state.upstreams.records.end() || !found->second.running.contains(progress.permit))
        return {};
    upstream_record &upstream = found->second;
    recordRate(upstream.health, state.upstreams.typicalRate, progress.tokensPerSecond, now);
    if (upstream.withheld)
        delayProbe(upstream.health, now);
    refresh(state.upstreams, upstream);
    return {};
}

decisions adoptRunning(pool_state &state, const adopted_attempt &attempt, instant now)
{
    const auto found = state.upstreams.records.find(attempt.upstream);
    if (found == state.upstreams.records.end())
        return {};
    attempt_record record;
    record.item.id = attempt.id;
    record.item.entryHost = attempt.entryHost;
    record.item.serviceClass = attempt.serviceClass;
    record.item.organisation = attempt.organisation;
    record.item.arrival = now - attempt.running;
    record.started = now - attempt.running;
    if (!addAttempt(state.upstreams, found->second, attempt.permit, std::move(record), now))
        return {};
    countStart(state.organisations, attempt.organisation);
    ++state.rule.running[attempt.serviceClass];
    return {};
}

decisions applyLoadReport(pool_state &state, const load_report &report, instant now)
{
    applyReport(state.upstreams, report, now);
    return makeAssignments(state, now);
}

void applyCacheEvent(pool_state &state, const cache_event &event)
{
    applyCacheEvent(state.prefixes, event);
}

decisions advance(pool_state &state, instant now)
{
    decisions out;
    refuseExpired(state, now, out);
    assign(state, now, out);
    return out;
}

decisions dropEntryHost(pool_state &state, std::string_view host, instant now)
{
    std::vector<std::string> ids;
    for (const auto &[name, queue] : state.queue.classes)
        collectIdsOfHost(queue, host, ids);
    for (const std::string &id : ids)
        dequeue(state.queue, id);
    for (auto &[name, record] : state.upstreams.records) {
        std::vector<std::uint64_t> permits;
        for (const auto &[permit, attempt] : record.running) {
            if (attempt.item.entryHost == host)
                permits.push_back(permit);
        }
        for (const std::uint64_t permit : permits)
            endAttempt(state, *removeAttempt(state.upstreams, record, permit, now), 0);
    }
    return makeAssignments(state, now);
}

std::size_t waitingCount(const pool_state &state)
{
    return state.queue.byId.size();
}

std::size_t runningCount(const pool_state &state)
{
    std::size_t count = 0;
    for (const auto &[name, record] : state.upstreams.records)
        count += record.running.size();
    return count;
}

} // namespace quincefall
