#include "policy/stop_rule.h"

namespace quincefall {

bool takesLateRequest(const late_request &request, microseconds timeLeft)
{
    return timeLeft >= (request.isRepeatable ? request.target : request.limit);
}

} // namespace quincefall
