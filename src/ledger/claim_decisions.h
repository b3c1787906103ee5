#pragma once

#include "ledger/claim_attempts.h"

#include <span>

namespace quincefall {

/// A host's answer when a peer that cannot reach the log asks about a key. The default value stands
/// for a host that did not answer.
struct peer_claim_status
{
    bool isReachable = false; ///< The host answered.
    bool isReady = false; ///< Its claim table has reached the log's tail since its start.
    bool hasClaim = false; ///< Its claim table has a claim for the key.
    bool hasAttempt = false; ///< An attempt of this host may still send the call or has sent it.
};

/// The status of @p key on this host. @p isReady: its claim table has reached the log's tail.
peer_claim_status claimStatusOf(const claim_table &table, const claim_attempts &own,
                                const claim_key &key, bool isReady);

/// True when it is certain that no request with the key has run, even though this host may have
/// missed records of the log. @p peers must include every other host that may have written a claim
/// since this host last reached the log's tail.
bool isCertainlyUnclaimed(const peer_claim_status &self, std::span<const peer_claim_status> peers);

/// How to answer a request whose key is already held by another attempt.
enum class duplicate_verdict {
    replayResult, ///< Answer with the recorded result.
    keyReused, ///< Reject: the key was used before for a different request.
    wait, ///< The holder is still running the call.
    outcomeUnknown, ///< The holder has stopped, ran over its time limit or got no answer.
};

/// Compares a request, given by the digest of its content, with the claim that holds its key.
/// @p isWithinWaitLimit is false when the claim is too old for its call to be still running.
duplicate_verdict judgeDuplicate(const claim_record &holder, std::string_view digest,
                                 bool isHolderAlive, bool isWithinWaitLimit);

} // namespace quincefall
