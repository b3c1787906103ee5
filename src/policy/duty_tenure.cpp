#include "policy/duty_tenure.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

// After a longer time without a run the process may have been suspended and its tenure be over.
// The event loop of a busy host is late by less.
constexpr milliseconds maxRunGap{1'000};
constexpr unsigned epochShift = 32;
// Of the time that is left to repeat a renewal that failed, this part may pass before it.
constexpr int renewalDelayShare = 3;

bool wasSuspended(const duty_tenure &tenure, instant now)
{
    return now - tenure.ranAt > maxRunGap;
}

/// Time for which the holder may act after it sent its last stored record. The other hosts count a
/// whole lease from when they learn of it. If the platform doesn't check fencing tokens, the last
/// third of the lease is left to calls that are on their way.
microseconds actingTime(const tenure_settings &settings)
{
    return settings.checksFence ? settings.lease : settings.lease * 2 / 3;
}

/// Begins or extends the tenure by a record that was sent at @p sentAt.
void extendTenure(duty_tenure &tenure, instant sentAt, instant now)
{
    tenure.isHolder = true;
    tenure.confirmedAt = sentAt;
    tenure.ranAt = now;
    tenure.needsCommit = now - sentAt > actingTime(tenure.settings);
}

void applyOwnRecord(duty_tenure &tenure, const tenure_record &record, instant sentAt, instant now)
{
    // Those that are still open had the condition that the topic has an earlier end.
    tenure.openWrites.clear();
    if (record.isReleased)
        endTenure(tenure, now);
    else
        extendTenure(tenure, sentAt, now);
}

/// Whether another host need not wait for a lease, since the holder doesn't act any more.
bool isVacant(const duty_tenure &tenure)
{
    const std::optional<tenure_record> &newest = tenure.newest;
    if (!newest || newest->host == tenure.self)
        return true;
    return newest->isReleased && newest->predecessor != tenure.self;
}

} // namespace

duty_tenure makeTenure(host_address self, tenure_settings settings)
{
    duty_tenure tenure;
    tenure.self = std::move(self);
    tenure.settings = settings;
    return tenure;
}

microseconds renewalInterval(const tenure_settings &settings)
{
    return settings.lease / 2;
}

instant renewalDue(const duty_tenure &tenure, instant expected)
{
    const microseconds interval = renewalInterval(tenure.settings);
    const instant due = tenure.confirmedAt + interval;
    const microseconds longest = (actingTime(tenure.settings) - interval) / renewalDelayShare;
    return expected > due && expected <= due + longest ? expected : due;
}

void applyRead(duty_tenure &tenure, const std::optional<tenure_record> &newest, store_position end,
               instant now)
{
    if (tenure.hasRead && end == tenure.end)
        return;
    tenure.hasRead = true;
    tenure.end = end;
    tenure.newest = newest;
    tenure.silence = microseconds(0);
    const auto own = newest ? tenure.openWrites.find(newest->nonce) : tenure.openWrites.end();
    if (own != tenure.openWrites.end()) {
        applyOwnRecord(tenure, *newest, own->second, now);
        return;
    }
    tenure.openWrites.clear();
    endTenure(tenure, now);
}

void applySilence(duty_tenure &tenure, microseconds waited)
{
    tenure.silence += waited;
}

void applyOutage(duty_tenure &tenure)
{
    const microseconds lease = tenure.settings.lease;
    tenure.silence = std::min(tenure.silence, lease - renewalInterval(tenure.settings));
}

microseconds timeUntilClaim(const duty_tenure &tenure, instant now)
{
    if (!tenure.hasRead || tenure.isHolder)
        return microseconds::max();
    const microseconds lease = tenure.settings.lease;
    microseconds wait = isVacant(tenure) ? microseconds(0) : lease - tenure.silence;
    if (tenure.heldUntil)
        wait = std::max(wait, *tenure.heldUntil + lease - now);
    return std::max(wait, microseconds(0));
}

tenure_record makeRecord(const duty_tenure &tenure, std::uint64_t nonce, bool isReleased)
{
    tenure_record record;
    record.host = tenure.self;
    record.nonce = nonce;
    record.isReleased = isReleased;
    if (tenure.newest && tenure.newest->host != tenure.self)
        record.predecessor = tenure.newest->host;
    else if (tenure.newest)
        record.predecessor = tenure.newest->predecessor;
    return record;
}

void beginWrite(duty_tenure &tenure, const tenure_record &record, instant now)
{
    tenure.openWrites[record.nonce] = now;
}

void applyStored(duty_tenure &tenure, const tenure_record &record, store_position end, instant now)
{
    const instant sentAt = tenure.openWrites.at(record.nonce);
    tenure.hasRead = true;
    tenure.end = end;
    tenure.newest = record;
    tenure.silence = microseconds(0);
    applyOwnRecord(tenure, record, sentAt, now);
}

void noteRunning(duty_tenure &tenure, instant now)
{
    if (wasSuspended(tenure, now))
        tenure.needsCommit = true;
    tenure.ranAt = now;
}

bool mayAct(const duty_tenure &tenure, instant now)
{
    return tenure.isHolder && !tenure.needsCommit && !wasSuspended(tenure, now)
        && now - tenure.confirmedAt < actingTime(tenure.settings);
}

void endTenure(duty_tenure &tenure, instant now)
{
    if (tenure.isHolder)
        tenure.heldUntil = now;
    tenure.isHolder = false;
}

std::uint64_t fencingToken(const store_position &end)
{
    return (end.epoch << epochShift) + end.offset;
}

} // namespace quincefall
