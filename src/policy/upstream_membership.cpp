#include "policy/upstream_membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quincefall {
namespace {

// Live upstreams are listed again about two seconds after the store's return.
constexpr milliseconds returnTime{2'300};
// An entry that goes missing this long after an outage may still have lapsed in it.
constexpr milliseconds doubtAfterReturn{2'500};
constexpr std::size_t mostRemoved = 256;

bool isInDoubt(const upstream_membership &membership, instant now)
{
    if (membership.lastFailure == instant::min())
        return false;
    const bool isAway = membership.storeRecoveredAt < membership.lastFailure;
    return isAway || now - membership.storeRecoveredAt < doubtAfterReturn;
}

instant giveUpTime(const upstream_membership &membership)
{
    const bool isAway = membership.storeRecoveredAt < membership.lastFailure;
    return isAway ? instant::max() - microseconds(1) : membership.storeRecoveredAt + returnTime;
}

using listing_row = decltype(upstream_membership::listings)::iterator;

void remove(upstream_membership &membership, listing_row row, std::uint64_t next)
{
    // Others ask for changes within seconds; hosts that ask for older ones get the whole list.
    if (membership.removed.size() >= mostRemoved) {
        const auto oldest = std::min_element(
            membership.removed.begin(), membership.removed.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        membership.removalsKnownFrom = std::max(membership.removalsKnownFrom, oldest->second);
        membership.removed.erase(oldest);
    }
    membership.removed[row->first] = next;
    membership.listings.erase(row);
}

} // namespace

bool applyEntry(upstream_membership &membership, upstream_entry entry, std::int64_t sequence,
                std::uint64_t next)
{
    const auto known = membership.listings.find(entry.id);
    bool isChange = known == membership.listings.end();
    if (!isChange) {
        upstream_membership::listing &current = known->second;
        const bool isOlderRun = entry.started < current.entry.started;
        const bool isOlderEntry
            = entry.started == current.entry.started && sequence < current.sequence;
        if (isOlderRun || isOlderEntry)
            return false;
        current.sequence = sequence;
        // Hosts that still doubt the entry would take it for gone, and tell all others so.
        if (std::exchange(current.removalDeadline, instant::max()) != instant::max())
            current.changed = std::max(current.changed, next);
        isChange = entry != current.entry;
    }
    if (!isChange)
        return false;
    membership.removed.erase(entry.id);
    const std::string id = entry.id;
    membership.listings[id] = {std::move(entry), sequence, next, instant::max()};
    return true;
}

bool applyMissing(upstream_membership &membership, std::string_view id, std::uint64_t next,
                  instant now)
{
    const auto known = membership.listings.find(id);
    if (known == membership.listings.end())
        return false;
    if (isInDoubt(membership, now) && !known->second.entry.isLeaving) {
        known->second.removalDeadline = giveUpTime(membership);
        return false;
    }
    remove(membership, known, next);
    return true;
}

bool applyRemoval(upstream_membership &membership, std::string_view id, std::uint64_t changed)
{
    const auto known = membership.listings.find(id);
    if (known == membership.listings.end() || known->second.changed >= changed)
        return false;
    remove(membership, known, changed);
    return true;
}

std::uint64_t advertisedOffset(const upstream_membership &membership, instant now)
{
    const bool isYoung
        = membership.firstReadAt != instant::min() && now - membership.firstReadAt < returnTime;
    if (isYoung)
        return 0;
    const bool hasDoubt
        = std::any_of(membership.listings.begin(), membership.listings.end(),
                      [](const auto &row) { return row.second.removalDeadline != instant::max(); });
    return hasDoubt ? 0 : membership.next;
}

void advanceOffset(upstream_membership &membership, std::uint64_t next)
{
    membership.next = std::max(membership.next, next);
}

void recordWholeList(upstream_membership &membership, std::uint64_t next)
{
    advanceOffset(membership, next);
    membership.removalsKnownFrom = std::max(membership.removalsKnownFrom, next);
}

void recordStoreContact(upstream_membership &membership, bool answered, instant now)
{
    if (!answered) {
        membership.lastFailure = now;
        return;
    }
    if (membership.storeRecoveredAt >= membership.lastFailure)
        return;
    membership.storeRecoveredAt = now;
    for (auto &[id, listing] : membership.listings) {
        if (listing.removalDeadline != instant::max())
            listing.removalDeadline = now + returnTime;
    }
}

std::size_t removeExpired(upstream_membership &membership, instant now)
{
    std::size_t dropped = 0;
    for (auto row = membership.listings.begin(); row != membership.listings.end();) {
        const auto next = std::next(row);
        if (row->second.removalDeadline <= now) {
            remove(membership, row, membership.next);
            ++dropped;
        }
        row = next;
    }
    return dropped;
}

} // namespace quincefall
