#include "ledger/lease_candidate.h"

#include <algorithm>
#include <charconv>

namespace quincefall {
namespace {

constexpr milliseconds takeInterval{1000}; ///< Between two tries to take the lease.
constexpr std::size_t pendingLimit = 64;

bool isHolder(const lease_candidate &self, const lease_state &seen)
{
    return self.hold.fence != 0 && seen.fence == self.hold.fence && seen.holder == self.host
        && seen.incarnation == self.incarnation;
}

std::optional<lease_action> decide(const lease_candidate &self, const lease_state &seen,
                                   instant now)
{
    const auto sinceAppend = [&] { return now - *self.lastAppend; };
    if (isHolder(self, seen)) {
        if (self.wantsToGiveUp)
            return lease_action::giveUp;
        const bool isDue = !self.lastAppend || sinceAppend() >= self.rules.renewInterval;
        return isDue ? std::optional(lease_action::renew) : std::nullopt;
    }
    const bool isPaced = self.lastAppend && sinceAppend() < takeInterval;
    const bool isFree = mayTake(self.watch, seen, self.rules, now);
    return isFree && !isPaced ? std::optional(lease_action::take) : std::nullopt;
}

/// The start of the append that wrote @p entry.
std::optional<instant> startOf(const lease_candidate &self, const lease_entry &entry)
{
    std::uint64_t number = 0;
    const std::string &text = entry.operation;
    std::from_chars(text.data(), text.data() + text.size(), number);
    const auto found = self.pending.find(number);
    return found == self.pending.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

std::optional<lease_entry> nextLeaseEntry(lease_candidate &self, const lease_table &book,
                                          instant now)
{
    const lease_state seen = leaseOf(book, self.lease);
    const auto action = decide(self, seen, now);
    if (!action)
        return std::nullopt;
    const std::uint64_t operation = self.nextOperation++;
    self.pending[operation] = now;
    if (self.pending.size() > pendingLimit)
        self.pending.erase(self.pending.begin());
    self.lastAppend = now;
    return lease_entry{
        *action,   self.lease, self.host, self.incarnation, std::to_string(operation),
        seen.last, seen.fence};
}

void handleAppliedRecord(lease_candidate &self, const lease_entry &entry, std::uint64_t offset)
{
    if (entry.lease != self.lease)
        return;
    const bool isOwn = entry.holder == self.host && entry.incarnation == self.incarnation;
    if (!isOwn || entry.action == lease_action::giveUp) {
        self.hold = {};
        self.wantsToGiveUp = false;
        return;
    }
    const auto start = startOf(self, entry);
    if (!start)
        return;
    if (entry.action == lease_action::take)
        self.hold = {offset + 1, *start};
    else if (entry.fence == self.hold.fence)
        self.hold.renewed = std::max(self.hold.renewed, *start);
}

bool mayAct(const lease_candidate &self, instant now)
{
    return !self.wantsToGiveUp && mayAct(self.hold, self.rules, now);
}

void giveUp(lease_candidate &self)
{
    self.wantsToGiveUp = self.hold.fence != 0;
}

} // namespace quincefall
