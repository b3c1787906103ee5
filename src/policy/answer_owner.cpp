#include "policy/answer_owner.h"

namespace quincefall {

answer_owner ownerOf(std::string_view answerId, std::string_view requestId, bool hasCarriedRequest)
{
    if (!answerId.empty())
        return answerId == requestId ? answer_owner::thisRequest : answer_owner::otherRequest;
    return hasCarriedRequest ? answer_owner::unknown : answer_owner::thisRequest;
}

} // namespace quincefall
