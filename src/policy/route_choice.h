#pragma once

#include "policy/desired_state.h"

#include <string_view>

namespace quincefall {

/// Why a request is turned away before any upstream is considered.
enum class route_refusal {
    none,
    noRoute, ///< No route matches.
    unknownKey, ///< The key is missing, or no organisation holds it.
};

/// The route of a request, the service that gets it and on whose behalf.
struct route_choice
{
    route_refusal refusal = route_refusal::none;
    const route_rule *route = nullptr;
    const service_rule *service = nullptr; ///< Null when the service is not declared.
    const organisation_rule *organisation = nullptr; ///< Null on routes without keys.
};

/// Chooses by authority (any case, port ignored) and longest path prefix. A split route gives a
/// request the same service each time, by its id.
route_choice chooseRoute(const desired_state &desired, std::string_view authority,
                         std::string_view path, std::string_view key, std::string_view requestId);

/// The request's place among the ranks of the desired state: 0 is the first, @p lowest the last.
/// The organisation's priority goes before the route's.
int urgencyOf(const desired_state &desired, const route_choice &choice, int lowest);

} // namespace quincefall
