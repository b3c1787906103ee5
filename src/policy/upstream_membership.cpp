#include "policy/upstream_membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quincefall {
namespace {

// Live upstreams are listed again about two seconds after the store has recovered.
constexpr milliseconds reregistrationTime{2'300};
// An entry that goes missing within this time after an outage may have expired during it.
constexpr milliseconds outageExpiryWindow{2'500};
constexpr std::size_t maxRemovals = 256;

bool mayHaveExpired(const upstream_membership &membership, instant now)
{
    if (membership.lastFailure == instant::min())
        return false;
    const bool isStoreDown = membership.storeRecoveredAt < membership.lastFailure;
    return isStoreDown || now - membership.storeRecoveredAt < outageExpiryWindow;
}

instant missingEntryDeadline(const upstream_membership &membership)
{
    const bool isStoreDown = membership.storeRecoveredAt < membership.lastFailure;
    return isStoreDown ? instant::max() - microseconds(1)
                       : membership.storeRecoveredAt + reregistrationTime;
}

/// Keeps the first end that an upstream told. The ends in its later entries differ by the time that
/// the entries took, and each difference would be sent to all hosts as a change.
void keepKnownEnd(upstream_entry &entry, const upstream_entry &known)
{
    if (entry.started == known.started && entry.leavesAt != 0 && known.leavesAt != 0)
        entry.leavesAt = known.leavesAt;
}

using listing_row = decltype(upstream_membership::listings)::iterator;

void remove(upstream_membership &membership, listing_row row, std::uint64_t next)
{
    // Other hosts ask for changes within seconds, so old removals can be dropped. A host that asks
    // for older changes gets the whole list.
    if (membership.removed.size() >= maxRemovals) {
        const auto oldest
            = std::min_element(membership.removed.begin(), membership.removed.end(),
                               [](const auto &left, const auto &right) {
                                   return std::pair(left.second.epoch, left.second.changed)
                                       < std::pair(right.second.epoch, right.second.changed);
                               });
        membership.removalsKnownFrom
            = std::max(membership.removalsKnownFrom, oldest->second.changed);
        membership.removed.erase(oldest);
    }
    membership.removed[row->first]
        = {next, membership.epoch, row->second.entry.started, row->second.sequence};
    membership.listings.erase(row);
}

/// Whether the entry of an unlisted upstream is from a copy of the store that is older than the
/// upstream's removal.
bool precedesRemoval(const upstream_membership &membership, const upstream_entry &entry,
                     std::int64_t sequence)
{
    const auto found = membership.removed.find(entry.id);
    if (found == membership.removed.end() || found->second.epoch >= membership.epoch)
        return false;
    const upstream_membership::removal &removal = found->second;
    return std::pair(entry.started, sequence) <= std::pair(removal.started, removal.sequence);
}

} // namespace

store_position positionOf(const upstream_membership &membership)
{
    return {membership.epoch, membership.next};
}

bool enterEpoch(upstream_membership &membership, std::uint64_t epoch, instant now)
{
    if (epoch <= membership.epoch)
        return false;
    const bool isFirst = membership.epoch == 0 && membership.listings.empty();
    membership.epoch = epoch;
    if (isFirst)
        return true;
    membership.next = 0;
    membership.removalsKnownFrom = 0;
    for (auto &[id, listing] : membership.listings)
        listing.changed = 0;
    for (auto &[id, removal] : membership.removed)
        removal.changed = 0;
    recordStoreContact(membership, false, now);
    recordStoreContact(membership, true, now);
    return true;
}

bool applyEntry(upstream_membership &membership, upstream_entry entry, std::int64_t sequence,
                std::uint64_t next)
{
    const auto found = membership.listings.find(entry.id);
    bool isChange = found == membership.listings.end();
    if (isChange && precedesRemoval(membership, entry, sequence))
        return false;
    if (!isChange) {
        upstream_membership::listing &current = found->second;
        const bool isOlderStart = entry.started < current.entry.started;
        const bool isOlderEntry
            = entry.started == current.entry.started && sequence < current.sequence;
        if (isOlderStart || isOlderEntry)
            return false;
        current.sequence = sequence;
        // The entry is sent again, since hosts on which it is still missing would remove it and
        // propagate the removal.
        if (std::exchange(current.removalDeadline, instant::max()) != instant::max())
            current.changed = std::max(current.changed, next);
        keepKnownEnd(entry, current.entry);
        isChange = entry != current.entry;
    }
    applyRegistration(membership.notices, entry);
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
    const auto found = membership.listings.find(id);
    if (found == membership.listings.end())
        return false;
    if (mayHaveExpired(membership, now) && !found->second.entry.isLeaving) {
        found->second.removalDeadline = missingEntryDeadline(membership);
        return false;
    }
    remove(membership, found, next);
    return true;
}

void noteMissedEntries(upstream_membership &membership, instant now)
{
    if (membership.next > 0 || !membership.listings.empty())
        membership.missedAt = now;
}

bool applyRemoval(upstream_membership &membership, std::string_view id, std::uint64_t changed)
{
    const auto found = membership.listings.find(id);
    if (found == membership.listings.end() || found->second.changed >= changed)
        return false;
    remove(membership, found, changed);
    return true;
}

std::uint64_t advertisedOffset(const upstream_membership &membership, instant now)
{
    const bool isFirstReadRecent = membership.firstReadAt != instant::min()
        && now - membership.firstReadAt < reregistrationTime;
    if (isFirstReadRecent)
        return 0;
    const bool hasPendingRemoval
        = std::any_of(membership.listings.begin(), membership.listings.end(),
                      [](const auto &row) { return row.second.removalDeadline != instant::max(); });
    return hasPendingRemoval ? 0 : membership.next;
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
            listing.removalDeadline = now + reregistrationTime;
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
