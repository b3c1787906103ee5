#include "ledger/claim_answer.h"

#include <algorithm>

namespace quincefall {

peer_knowledge describeKnowledge(const claim_book &book, const claim_attempts &own,
                                 const claim_key &key, bool isReady)
{
    return {true, isReady, findClaim(book, key) != nullptr, hasActiveAttempt(own, key)};
}

bool isCertainlyUnclaimed(const peer_knowledge &self, std::span<const peer_knowledge> peers)
{
    const auto isClear = [](const peer_knowledge &host) {
        return host.isReachable && host.isReady && !host.isKnown && !host.isActive;
    };
    return isClear(self) && std::all_of(peers.begin(), peers.end(), isClear);
}

asker_verdict judgeAsker(const claim_record &holder, std::string_view digest, bool isClaimerAlive,
                         bool isWithinPatience)
{
    if (holder.digest != digest)
        return asker_verdict::keyReused;
    if (holder.phase == claim_phase::done)
        return asker_verdict::sameResult;
    if (holder.phase == claim_phase::unknown)
        return asker_verdict::outcomeUnknown;
    return isClaimerAlive && isWithinPatience ? asker_verdict::wait : asker_verdict::outcomeUnknown;
}

} // namespace quincefall
