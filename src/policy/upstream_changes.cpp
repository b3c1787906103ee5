#include "policy/upstream_changes.h"

#include <set>

namespace quincefall {
namespace {

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

upstream_changes changesSince(const upstream_membership &membership, std::uint64_t after)
{
    upstream_changes changes;
    changes.next = membership.next;
    changes.isWholeList = after < membership.removalsKnownFrom;
    for (const auto &[id, listing] : membership.listings) {
        if (changes.isWholeList || listing.changed > after)
            changes.listings.push_back(listing);
    }
    for (const auto &[id, changed] : membership.removed) {
        if (!changes.isWholeList && changed > after)
            changes.removed.push_back({id, changed});
    }
    return changes;
}

bool applyChanges(upstream_membership &membership, const upstream_changes &changes)
{
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
