#pragma once

#include "clients/host_list_service.h"
#include "operate/settings.h"

#include <boost/json/array.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace quincefall {

class heartbeat_service;

/// What the host @p self knows of the other entry hosts on the platform's list.
boost::json::array describePeers(std::span<const listed_host> listed,
                                 const heartbeat_service &beats, std::string_view self);

/// The peers that are known before the platform's list is read.
std::vector<listed_host> hostsFromSettings(std::span<const peer_setting> peers);

} // namespace quincefall
