#include "policy/answer_proof.h"

#include <algorithm>
#include <set>

namespace quincefall {
namespace {

/// Whether neither the deadline nor the upstream's leaving can have ended the answer.
bool hasNoOuterCause(const run_end &end)
{
    return !end.isLeaving && end.timeLeft >= std::max(end.longestWait, end.expectedWait);
}

} // namespace

std::string_view toString(answer_proof proof)
{
    switch (proof) {
    case answer_proof::framing:
        return "framing";
    case answer_proof::announcement:
        return "announcement";
    case answer_proof::agreement:
        return "agreement";
    case answer_proof::declaration:
        return "declaration";
    case answer_proof::none:
        break;
    }
    return "none";
}

bool confirmEachOther(std::span<const std::uint64_t> upstreams)
{
    const std::set<std::uint64_t> distinct(upstreams.begin(), upstreams.end());
    return distinct.size() > 1 && distinct.size() < upstreams.size();
}

bool isEndAsAnnounced(const run_end &end)
{
    // What the head says of its own end holds whatever other upstreams do.
    const bool wasRead = end.longestUnread <= end.expectedWait;
    return end.isAnnounced && end.hasWholeRequest && wasRead && hasNoOuterCause(end);
}

answer_proof proofOf(const run_end &end)
{
    if (end.isFramed)
        return answer_proof::framing;
    if (!end.hasWholeRequest || !end.hasOutlived)
        return answer_proof::none;
    // Two ends are independent only if nothing that both runs share can have caused them: the
    // deadline, or a fault that ends several upstreams.
    if (end.isConfirmed && !end.mayBeFramed && hasNoOuterCause(end))
        return answer_proof::agreement;
    if (end.isDeclared && !end.mayBeFramed)
        return answer_proof::declaration;
    return isEndAsAnnounced(end) ? answer_proof::announcement : answer_proof::none;
}

} // namespace quincefall
