#include "policy/carried_requests.h"

#include "policy/fleet_load.h"

#include <algorithm>

namespace quincefall {

bool hasCarried(const carried_requests &carried, std::string_view id)
{
    return !id.empty()
        && std::find(carried.ids.begin(), carried.ids.end(), nameHash(id)) != carried.ids.end();
}

void recordCarried(carried_requests &carried, std::string_view id)
{
    if (!id.empty())
        carried.ids.push_back(nameHash(id));
}

bool mayCarryMore(const carried_requests &carried)
{
    return carried.ids.size() < maxCarriedRequests;
}

} // namespace quincefall
