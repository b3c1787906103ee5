#pragma once

#include "clients/host_list_service.h"
#include "operate/settings.h"

#include <boost/json/array.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace quincefall {

class heartbeat_service;

/// The entry hosts on the platform's list other than @p self, with their states according to
/// @p heartbeats.
boost::json::array describePeers(std::span<const listed_host> listed,
                                 const heartbeat_service &heartbeats, std::string_view self);

/// The peers of the settings, to be used until the platform's list is read.
std::vector<listed_host> hostsFromSettings(std::span<const peer_setting> peers);

} // namespace quincefall
