#include "policy/upstream_changes.h"

#include <algorithm>
#include <set>

namespace quincefall {
namespace {

/// Whether an upstream was listed and removed since the last update.
bool hasUnknownRemoval(const upstream_membership &membership, const upstream_changes &changes)
{
    return std::any_of(changes.removed.begin(), changes.removed.end(),
                       [&membership](const upstream_changes::removal &removal) {
                           return !membership.listings.contains(removal.id)
                               && !membership.removed.contains(removal.id);
                       });
}

bool removeUnlisted(upstream_membership &membership, const upstream_changes &changes)
{
    std::set<std::string_view> listed;
    for (const upstream_membership::listing &listing : changes.listings)
        listed.insert(listing.entry.id);
    std::vector<std::string> unlisted;
    for (const auto &[id, listing] : membership.listings) {
        if (!listed.contains(id))
            unlisted.push_back(id);
    }
    bool isChanged = false;
    for (const std::string &id : unlisted)
        isChanged = applyRemoval(membership, id, changes.next) || isChanged;
    return isChanged;
}

} // namespace

upstream_changes changesSince(const upstream_membership &membership, store_position after)
{
    upstream_changes changes;
    changes.epoch = membership.epoch;
    changes.next = membership.next;
    changes.isWholeList
        = after.epoch != membership.epoch || after.offset < membership.removalsKnownFrom;
    for (const auto &[id, listing] : membership.listings) {
        if (changes.isWholeList || listing.changed > after.offset)
            changes.listings.push_back(listing);
    }
    for (const auto &[id, removal] : membership.removed) {
        if (!changes.isWholeList && removal.changed > after.offset)
            changes.removed.push_back({id, removal.changed});
    }
    return changes;
}

std::size_t countChangesSince(const upstream_membership &membership, store_position after)
{
    if (after.epoch != membership.epoch || after.offset < membership.removalsKnownFrom)
        return membership.listings.size();
    const auto isChanged = [after](const auto &row) { return row.second.changed > after.offset; };
    return std::size_t(
        std::count_if(membership.listings.begin(), membership.listings.end(), isChanged));
}

bool applyChanges(upstream_membership &membership, const upstream_changes &changes, instant now)
{
    if (changes.epoch < membership.epoch)
        return false;
    enterEpoch(membership, changes.epoch, now);
    if (changes.isWholeList || hasUnknownRemoval(membership, changes))
        noteMissedEntries(membership, now);
    bool isChanged = false;
    for (const upstream_membership::listing &listing : changes.listings)
        isChanged
            = applyEntry(membership, listing.entry, listing.sequence, listing.changed) || isChanged;
    for (const upstream_changes::removal &removal : changes.removed)
        isChanged = applyRemoval(membership, removal.id, removal.changed) || isChanged;
    if (changes.isWholeList)
        isChanged = removeUnlisted(membership, changes) || isChanged;
    if (changes.isWholeList)
        recordWholeList(membership, changes.next);
    else
        advanceOffset(membership, changes.next);
    return isChanged;
}

} // namespace quincefall
