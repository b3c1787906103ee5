#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "operate/section_reader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// A peer whose address is known before the host list is read.
struct peer_setting
{
    std::string name;
    host_address address;
};

/// Settings of one `quincefall serve` process, read from a YAML file.
struct settings
{
    std::string hostName;
    std::string region;
    std::string failureDomain;

    host_address callerListen;
    host_address peerListen;
    host_address operatorListen;

    std::string fleetSecret; ///< Shared by all hosts; authenticates peers.
    std::vector<peer_setting> peers;
    std::string operatorKey; ///< Bearer key of the operator API.

    host_address logAddress; ///< Of the platform's log service.
    host_address hostListAddress; ///< Of the platform's host list service.
    std::uint32_t checkpointEvery = 500; ///< Records between checkpoints of a log stream.

    std::string logTarget = "stderr"; ///< "stderr" or a file path.
    std::string logLevel = "info";

    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    std::uint32_t maxConnections = 4096;
    std::uint32_t memoryMb = 512; ///< That the process may use.
    milliseconds callerTimeout{10'000}; ///< For a request to arrive and for a write to progress.
    milliseconds drainTimeout{60'000}; ///< Limit of the wait for running requests at a stop.
};

using settings_reading = checked_settings<settings>;

/// Checks @p yaml against the schema and reports all mistakes at once.
settings_reading readSettings(std::string_view yaml);

/// Reads the file at @p path; an unreadable file is one mistake.
settings_reading readSettingsFile(const std::string &path);

} // namespace quincefall
