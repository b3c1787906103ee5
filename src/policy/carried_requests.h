#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quincefall {

/// Ids of the requests that a connection has carried.
///
/// An answer echoes the id of its request. That tells whose answer it is only on a connection which
/// has carried the id once: the peer may send an answer again, also while the same request is under
/// way for the second time.
struct carried_requests
{
    std::vector<std::uint64_t> ids; ///< nameHash() of each.
};

/// Number of ids after which a connection is to carry no further request. Limits the memory of the
/// ids to 2 kB a connection.
inline constexpr std::size_t maxCarriedRequests = 256;

/// Whether the connection has carried the request @p id. False for a request without an id, whose
/// answers echo none.
bool hasCarried(const carried_requests &carried, std::string_view id);

void recordCarried(carried_requests &carried, std::string_view id);

/// Whether the connection may carry a further request.
bool mayCarryMore(const carried_requests &carried);

} // namespace quincefall
