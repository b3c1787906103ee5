#pragma once

#include "ledger/claim_attempts.h"

#include <span>

namespace quincefall {

/// What a host of the fleet says about a key while the asker has lost the log.
struct peer_claim_status
{
    bool isReachable = false; ///< It answered.
    bool isReady = false; ///< Its book has reached the log's tail since its start.
    bool hasClaim = false; ///< Its book has a claim for the key.
    bool hasAttempt = false; ///< An attempt of its own may send or has sent.
};

/// What this host's own book and attempts say about @p key.
peer_claim_status claimStatusOf(const claim_table &book, const claim_attempts &own,
                                const claim_key &key, bool isReady);

/// Whether a caller may be told that no earlier request with this key ran, when this host may have
/// missed records. @p peers must hold every other host that may have claimed since this host last
/// reached the log's tail.
bool isCertainlyUnclaimed(const peer_claim_status &self, std::span<const peer_claim_status> peers);

/// What an asker gets whose key another attempt holds.
enum class duplicate_verdict {
    replayResult, ///< The recorded answer.
    keyReused, ///< The key came with another request before.
    wait, ///< The claimer is at work.
    outcomeUnknown, ///< The claimer is gone, or got no answer.
};

/// Judges a request with @p digest against the claim that counts.
duplicate_verdict judgeDuplicate(const claim_record &holder, std::string_view digest,
                                 bool isClaimerAlive, bool isWithinPatience);

} // namespace quincefall
