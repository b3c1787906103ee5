#pragma once

#include <span>
#include <string>
#include <string_view>

namespace quincefall {

/// Chooses the owner of @p key among @p hosts by rendezvous hashing: all hosts that see the same
/// members agree, and the loss of a host moves only its own keys. Empty when there is no host.
std::string_view rendezvousOwner(std::string_view key, std::span<const std::string> hosts);

} // namespace quincefall
