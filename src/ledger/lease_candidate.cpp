#include "ledger/lease_candidate.h"

#include <algorithm>
#include <charconv>

namespace quincefall {
namespace {

constexpr milliseconds takeRetryInterval{1000}; ///< Between two attempts to take the lease.
constexpr std::size_t maxPendingAppends = 64;

bool isHolder(const lease_candidate &self, const lease_state &seen)
{
    return self.hold.fence != 0 && seen.fence == self.hold.fence && seen.holder == self.host
        && seen.incarnation == self.incarnation;
}

std::optional<lease_action> decideAction(const lease_candidate &self, const lease_state &seen,
                                         instant now)
{
    const auto sinceAppend = [&] { return now - *self.lastAppend; };
    if (isHolder(self, seen)) {
        if (self.isGivingUp)
            return lease_action::giveUp;
        const bool isDue = !self.lastAppend || sinceAppend() >= self.timing.renewInterval;
        return isDue ? std::optional(lease_action::renew) : std::nullopt;
    }
    const bool triedRecently = self.lastAppend && sinceAppend() < takeRetryInterval;
    const bool isFree = mayTake(self.watch, seen, self.timing, now);
    return isFree && !triedRecently ? std::optional(lease_action::take) : std::nullopt;
}

/// When the append of @p entry was started; unset if the start time is no longer kept.
std::optional<instant> appendStartOf(const lease_candidate &self, const lease_entry &entry)
{
    std::uint64_t number = 0;
    const std::string &text = entry.operation;
    std::from_chars(text.data(), text.data() + text.size(), number);
    const auto found = self.pendingAppends.find(number);
    return found == self.pendingAppends.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

std::optional<lease_entry> nextLeaseEntry(lease_candidate &self, const lease_table &table,
                                          instant now)
{
    const lease_state seen = leaseOf(table, self.lease);
    const auto action = decideAction(self, seen, now);
    if (!action)
        return std::nullopt;
    const std::uint64_t operation = self.nextOperation++;
    self.pendingAppends[operation] = now;
    if (self.pendingAppends.size() > maxPendingAppends)
        self.pendingAppends.erase(self.pendingAppends.begin());
    self.lastAppend = now;
    return lease_entry{
        *action,      self.lease, self.host, self.incarnation, std::to_string(operation),
        seen.version, seen.fence};
}

void handleAppliedRecord(lease_candidate &self, const lease_entry &entry, std::uint64_t offset)
{
    if (entry.lease != self.lease)
        return;
    const bool isOwn = entry.holder == self.host && entry.incarnation == self.incarnation;
    if (!isOwn || entry.action == lease_action::giveUp) {
        self.hold = {};
        self.isGivingUp = false;
        return;
    }
    const auto start = appendStartOf(self, entry);
    if (!start)
        return;
    if (entry.action == lease_action::take)
        self.hold = {offset + 1, *start};
    else if (entry.fence == self.hold.fence)
        self.hold.renewedAt = std::max(self.hold.renewedAt, *start);
}

bool mayAct(const lease_candidate &self, instant now)
{
    return !self.isGivingUp && mayAct(self.hold, self.timing, now);
}

void giveUp(lease_candidate &self)
{
    self.isGivingUp = self.hold.fence != 0;
}

} // namespace quincefall
