#include "policy/answer_proof.h"

#include <algorithm>
#include <set>

namespace quincefall {

std::string_view toString(answer_proof proof)
{
    switch (proof) {
    case answer_proof::framing:
        return "framing";
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

answer_proof proofOf(const run_end &end)
{
    if (end.isFramed)
        return answer_proof::framing;
    if (!end.hasWholeRequest || end.mayBeFramed || !end.hasOutlived)
        return answer_proof::none;
    if (end.isDeclared)
        return answer_proof::declaration;
    // Two ends are independent only if nothing that both runs share can have caused them: the
    // deadline, or a fault that ends several upstreams.
    const bool hasTime = end.timeLeft >= std::max(end.longestWait, end.expectedWait);
    const bool isIndependent = hasTime && !end.isLeaving;
    return end.isConfirmed && isIndependent ? answer_proof::agreement : answer_proof::none;
}

} // namespace quincefall
