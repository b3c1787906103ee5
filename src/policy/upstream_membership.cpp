#include "policy/upstream_membership.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

// Live upstreams are listed again about two seconds after the store's return.
constexpr milliseconds returnTime{2'300};
// An entry that goes missing this long after an outage may still have lapsed in it.
constexpr milliseconds doubtAfterReturn{2'500};

bool isInDoubt(const upstream_membership &membership, instant now)
{
    if (membership.lastFailure == instant::min())
        return false;
    const bool isAway = membership.backSince < membership.lastFailure;
    return isAway || now - membership.backSince < doubtAfterReturn;
}

instant giveUpTime(const upstream_membership &membership)
{
    const bool isAway = membership.backSince < membership.lastFailure;
    return isAway ? instant::max() - microseconds(1) : membership.backSince + returnTime;
}

} // namespace

bool takeEntry(upstream_membership &membership, upstream_entry entry, std::int64_t sequence)
{
    const auto known = membership.listings.find(entry.id);
    if (known != membership.listings.end()) {
        const upstream_membership::listing &current = known->second;
        const bool isOlderRun = entry.started < current.entry.started;
        const bool isOlderEntry
            = entry.started == current.entry.started && sequence < current.sequence;
        if (isOlderRun || isOlderEntry)
            return false;
    }
    const std::string id = entry.id;
    membership.listings[id] = {std::move(entry), sequence, instant::max()};
    return true;
}

bool takeMissing(upstream_membership &membership, std::string_view id, instant now)
{
    const auto known = membership.listings.find(id);
    if (known == membership.listings.end())
        return false;
    if (isInDoubt(membership, now) && !known->second.entry.isLeaving) {
        known->second.doubtfulUntil = giveUpTime(membership);
        return false;
    }
    membership.listings.erase(known);
    return true;
}

void takeStoreContact(upstream_membership &membership, bool answered, instant now)
{
    if (!answered) {
        membership.lastFailure = now;
        return;
    }
    if (membership.backSince >= membership.lastFailure)
        return;
    membership.backSince = now;
    for (auto &[id, listing] : membership.listings) {
        if (listing.doubtfulUntil != instant::max())
            listing.doubtfulUntil = now + returnTime;
    }
}

std::size_t dropMissing(upstream_membership &membership, instant now)
{
    return std::erase_if(membership.listings,
                         [now](const auto &row) { return row.second.doubtfulUntil <= now; });
}

} // namespace quincefall
