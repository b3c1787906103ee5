#include "policy/feed_plan.h"

#include <algorithm>
#include <vector>

namespace quincefall {
namespace {

// Two may fail at once while the third still reads.
constexpr std::size_t readers = 3;
// A reader that has had no answer for this many intervals is no reader any more.
constexpr int missedReads = 3;

milliseconds ageOf(const feed_view &view, const fleet_load::entry &entry, instant now)
{
    const milliseconds told = view.isUpstreams ? entry.hint.upstreamsAge : entry.hint.desiredAge;
    return told + std::chrono::duration_cast<milliseconds>(now - entry.received);
}

std::uint64_t knownTo(const feed_view &view, const fleet_load::entry &entry)
{
    return view.isUpstreams ? entry.hint.upstreamsNext : entry.hint.desiredVersion;
}

/// One of the hosts that know most, if they know more than this one. Each host prefers another, so
/// that not all of them ask the same one at the same moment.
const fleet_load::entry *bestInformed(const feed_view &view, const fleet_load &others,
                                      const host_address &own)
{
    std::uint64_t most = view.known;
    for (const auto &[address, entry] : others.hosts)
        most = std::max(most, knownTo(view, entry));
    const std::uint64_t key = nameHash(toString(own));
    const fleet_load::entry *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &[address, entry] : others.hosts) {
        if (most == view.known || knownTo(view, entry) < most)
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

instant freshestContact(const feed_view &view, const fleet_load &others)
{
    instant freshest = instant::min();
    for (const auto &[address, entry] : others.hosts) {
        const milliseconds told
            = view.isUpstreams ? entry.hint.upstreamsAge : entry.hint.desiredAge;
        if (view.known > 0 && knownTo(view, entry) == view.known)
            freshest = std::max<instant>(freshest, entry.received - told);
    }
    return freshest;
}

bool isReader(const feed_view &view, const fleet_load &others, const host_address &own, instant now)
{
    const auto score = [](const host_address &host) { return nameHash(toString(host)); };
    std::size_t before = 0;
    for (const auto &[address, entry] : others.hosts) {
        const bool isServed = ageOf(view, entry, now) < view.interval * missedReads;
        if (isServed && score(address) > score(own))
            ++before;
    }
    return before < readers;
}

feed_step planFeed(const feed_view &view, const fleet_load &others, const host_address &own,
                   instant now)
{
    feed_step step;
    const fleet_load::entry *informed = bestInformed(view, others, own);
    const bool isDue = view.sinceRead >= view.interval;
    const bool isCutOff = view.known > 0 && view.age >= view.interval * missedReads;
    const bool mayRead = view.known == 0 || isCutOff || isReader(view, others, own, now);
    // A reader that the store refuses would only read in vain while another host knows more.
    if (isDue && mayRead && (view.isServed || !informed)) {
        step.action = feed_step::kind::readStore;
    } else if (informed) {
        step.action = feed_step::kind::askHost;
        step.host = informed->hint.host;
    }
    return step;
}

} // namespace quincefall
