#pragma once

#include "policy/desired_state.h"

#include <string_view>

namespace quincefall {

/// Why a request is refused before an upstream is chosen.
enum class route_refusal {
    none,
    noRoute, ///< No route matches.
    unknownKey, ///< The key is missing, or no organisation holds it.
};

/// The route of a request, the service that handles it and the organisation that sent it.
struct route_choice
{
    route_refusal refusal = route_refusal::none;
    const route_rule *route = nullptr;
    const service_rule *service = nullptr; ///< Null when the service is not declared.
    const organisation_rule *organisation = nullptr; ///< Null on routes without keys.
};

/// The route by authority (ignoring case and port) and longest path prefix; null if none matches.
const route_rule *findRoute(const desired_state &desired, std::string_view authority,
                            std::string_view path);

/// Chooses the route as findRoute() does. If it
/// splits its traffic over several services, a hash of @p requestId chooses one, so that a request
/// gets the same service each time.
route_choice chooseRoute(const desired_state &desired, std::string_view authority,
                         std::string_view path, std::string_view key, std::string_view requestId);

/// Chooses @p service in place of the one in @p choice; false if the route does not name it.
bool setService(const desired_state &desired, route_choice &choice, std::string_view service);

/// Maps the request's rank among those of the desired state to an urgency from 0, the most urgent,
/// to @p lowestUrgency. The organisation's priority is compared before the route's.
int urgencyOf(const desired_state &desired, const route_choice &choice, int lowestUrgency);

} // namespace quincefall
