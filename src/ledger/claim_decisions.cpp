#include "ledger/claim_decisions.h"

#include <algorithm>

namespace quincefall {

peer_claim_status claimStatusOf(const claim_table &table, const claim_attempts &own,
                                const claim_key &key, bool isReady)
{
    return {true, isReady, findClaim(table, key) != nullptr, hasActiveAttempt(own, key)};
}

bool isCertainlyUnclaimed(const peer_claim_status &self, std::span<const peer_claim_status> peers)
{
    const auto isClear = [](const peer_claim_status &host) {
        return host.isReachable && host.isReady && !host.hasClaim && !host.hasAttempt;
    };
    return isClear(self) && std::all_of(peers.begin(), peers.end(), isClear);
}

duplicate_verdict judgeDuplicate(const claim_record &holder, std::string_view digest,
                                 bool isHolderAlive, bool isWithinWaitLimit)
{
    if (holder.digest != digest)
        return duplicate_verdict::keyReused;
    if (holder.phase == claim_phase::done)
        return duplicate_verdict::replayResult;
    if (holder.phase == claim_phase::unknown)
        return duplicate_verdict::outcomeUnknown;
    return isHolderAlive && isWithinWaitLimit ? duplicate_verdict::wait
                                              : duplicate_verdict::outcomeUnknown;
}

} // namespace quincefall
