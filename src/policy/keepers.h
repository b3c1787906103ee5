#pragma once

#include "policy/fleet_load.h"

#include <cstdint>
#include <span>
#include <vector>

namespace quincefall {

/// Any fixed number: the keepers of this object are the hosts that may come to hold the duties.
inline constexpr std::uint64_t dutiesKey = 0x6475'7469'6573;

/// The hosts that keep what the fleet knows of the object @p key, @p own included if it is one of
/// them: the first few by rendezvous hashing among the hosts whose hints arrive.
///
/// Needed where one host learns of something that any other host may soon need: to tell a few
/// keepers costs the same in a fleet of any size, and several of them may fail at once.
std::vector<host_address> keepersOf(std::uint64_t key, const fleet_load &others,
                                    const host_address &own);

/// The same among @p hosts, which include this one.
std::vector<host_address> keepersAmong(std::uint64_t key, std::span<const host_address> hosts);

/// The hosts that are to keep what is needed after others have left: @p own, unless it @p
/// isStopping, and those whose hints arrive and that do not stop. If all others stop, all hosts.
std::vector<host_address> stayingHosts(const fleet_load &others, const host_address &own,
                                       bool isStopping);

/// The one of @p hosts that stores for all of them where @p stream began. One host does that for
/// many, so that the number of writes hardly grows with the fleet.
host_address streamWriter(std::uint64_t stream, std::span<const host_address> hosts);

/// Whether @p own is that host for any stream.
bool isStreamWriter(const host_address &own, std::span<const host_address> hosts);

/// The @p count hosts other than this one whose processes started first. What has happened lately
/// is known to them if it is known to any host.
std::vector<host_address> oldestHosts(const fleet_load &others, std::size_t count);

/// Whether @p own is a keeper of the object.
bool isKeeper(std::uint64_t key, const fleet_load &others, const host_address &own);

} // namespace quincefall
