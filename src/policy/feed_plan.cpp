#include "policy/feed_plan.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

// Two readers may fail at once while the third still reads.
constexpr std::size_t readerCount = 3;
// Hosts that read the store while readers are late. All of them would slow a slow store further.
constexpr std::size_t lateReaderCount = 2 * readerCount;
// Intervals between reads for which a revision may be unconfirmed, by the store or through another
// host, before its host is a late reader. Two intervals and a half are the time in which a change
// must be known, so that time is left for another host to read it.
constexpr double lateAgeInIntervals = 1.25;
// After so many intervals without a confirmation a host no longer counts as a reader.
constexpr double maxAgeInIntervals = 3;

// The readers and those that replace them when they fail at once.
constexpr std::size_t candidateCount = 8;
constexpr int maxMissedCandidateHints = 3;
// All readers get a new revision at the same time, some milliseconds apart.
constexpr int soundReadsPerInterval = 8;

std::uint64_t scoreOf(const host_address &host)
{
    return nameHash(toString(host));
}

milliseconds ageOf(const feed_view &view, const fleet_load::entry &entry, instant now)
{
    const milliseconds reportedAge
        = view.isUpstreamList ? entry.hint.upstreamsAge : entry.hint.desiredAge;
    return reportedAge + std::chrono::duration_cast<milliseconds>(now - entry.received);
}

/// Offset 0 when the host has none that others may use.
store_position revisionOf(const feed_view &view, const fleet_load::entry &entry)
{
    return view.isUpstreamList ? entry.hint.upstreamsNext
                               : store_position{0, entry.hint.desiredVersion};
}

/// Age of a revision that was last confirmed @p intervals ago.
milliseconds ageAfter(const feed_view &view, double intervals)
{
    return std::chrono::duration_cast<milliseconds>(view.interval * intervals) + view.hintInterval;
}

/// Age above which a revision may no longer be the newest.
milliseconds maxAge(const feed_view &view)
{
    return ageAfter(view, maxAgeInIntervals);
}

bool isNewer(const store_position &revision, const store_position &than)
{
    return revision.offset > 0 && revision > than;
}

bool isNewerKnown(const feed_view &view, const fleet_load &others)
{
    return std::any_of(others.hosts.begin(), others.hosts.end(), [&view](const auto &row) {
        return isNewer(revisionOf(view, row.second), view.revision);
    });
}

/// Of the hosts that are not busy, one with the newest revision; null if it is not newer than this
/// host's. A host that has no revision yet is given one with any: when a fleet starts, each host
/// has another revision, and all would ask the one with the newest. The choice depends on @p own,
/// so that not all hosts ask the same one at the same time.
const fleet_load::entry *mostUpToDateHost(const feed_view &view, const fleet_load &others,
                                          const host_address &own, instant now)
{
    const bool hasNone = view.revision.offset == 0;
    store_position newest = view.revision;
    for (const auto &[address, entry] : others.hosts) {
        if (entry.busyUntil <= now && isNewer(revisionOf(view, entry), newest))
            newest = revisionOf(view, entry);
    }
    const std::uint64_t key = nameHash(toString(own));
    const fleet_load::entry *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &[address, entry] : others.hosts) {
        const bool isWanted = hasNone
            ? revisionOf(view, entry).offset > 0
            : newest != view.revision && revisionOf(view, entry) == newest;
        if (!isWanted || entry.busyUntil > now)
            continue;
        const std::uint64_t score = nameHash(toString(address) + std::to_string(key));
        if (best && score <= bestScore)
            continue;
        best = &entry;
        bestScore = score;
    }
    return best;
}

} // namespace

instant latestConfirmation(const feed_view &view, const fleet_load &others)
{
    instant freshest = instant::min();
    for (const auto &[address, entry] : others.hosts) {
        const milliseconds reportedAge
            = view.isUpstreamList ? entry.hint.upstreamsAge : entry.hint.desiredAge;
        if (view.revision.offset > 0 && revisionOf(view, entry) == view.revision)
            freshest = std::max<instant>(freshest, entry.received - reportedAge);
    }
    return freshest;
}

std::vector<host_address> readerCandidates(const fleet_load &others, const host_address &own)
{
    std::vector<std::pair<std::uint64_t, host_address>> ranked{{scoreOf(own), own}};
    ranked.reserve(others.hosts.size() + 1);
    for (const auto &[address, entry] : others.hosts)
        ranked.emplace_back(scoreOf(address), address);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(std::min(ranked.size(), candidateCount));
    std::vector<host_address> candidates;
    candidates.reserve(ranked.size());
    for (const auto &[score, address] : ranked)
        candidates.push_back(address);
    const auto self = std::find(candidates.begin(), candidates.end(), own);
    if (self == candidates.end())
        return {};
    candidates.erase(self);
    return candidates;
}

bool isReader(const feed_view &view, const fleet_load &others, const host_address &own, instant now)
{
    const std::uint64_t ownScore = scoreOf(own);
    std::vector<const fleet_load::entry *> higher;
    for (const auto &[address, entry] : others.hosts) {
        if (scoreOf(address) > ownScore)
            higher.push_back(&entry);
    }
    const bool isCandidate = higher.size() < candidateCount;
    const auto areFewerReaders = [&](milliseconds age) {
        const auto counts = [&view, isCandidate, now, age](const fleet_load::entry *entry) {
            const bool hasRecentRead = ageOf(view, *entry, now) < age;
            const bool isHeard
                = now - entry->received < candidateHintInterval * maxMissedCandidateHints;
            return hasRecentRead && (isHeard || !isCandidate);
        };
        return std::size_t(std::count_if(higher.begin(), higher.end(), counts)) < readerCount;
    };
    const bool mayHelp = higher.size() < lateReaderCount;
    return areFewerReaders(maxAge(view))
        || (mayHelp && areFewerReaders(ageAfter(view, lateAgeInIntervals)));
}

std::optional<host_address> hostToAskDuringRead(const feed_view &view, const fleet_load &others,
                                                const host_address &own, milliseconds newerKnownFor,
                                                instant now)
{
    if (newerKnownFor < view.interval / soundReadsPerInterval)
        return std::nullopt;
    const fleet_load::entry *newerHost = mostUpToDateHost(view, others, own, now);
    return newerHost ? std::optional(newerHost->hint.host) : std::nullopt;
}

feed_step planFeed(const feed_view &view, const fleet_load &others, const host_address &own,
                   instant now)
{
    feed_step step;
    const fleet_load::entry *newerHost = mostUpToDateHost(view, others, own, now);
    const bool isDue = view.sinceRead >= view.interval;
    const bool isOutdated = view.revision.offset > 0 && view.age >= maxAge(view);
    const bool mayRead
        = view.revision.offset == 0 || isOutdated || isReader(view, others, own, now);
    // After a failed read the next would probably fail too, so a newer revision is fetched from
    // another host instead.
    if (isDue && mayRead && (view.isStoreReachable || !isNewerKnown(view, others))) {
        step.action = feed_step::kind::readStore;
    } else if (newerHost) {
        step.action = feed_step::kind::askHost;
        step.host = newerHost->hint.host;
    }
    return step;
}

} // namespace quincefall
