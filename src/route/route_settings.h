#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "operate/section_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Settings of one `quincefall route` process, read from a YAML file.
struct route_settings
{
    std::string hostName;
    std::string region;
    std::string failureDomain;

    host_address callerListen;
    host_address readyListen;
    host_address peerListen; ///< Other hosts and the metrics reader.
    host_address exchangeListen; ///< Other hosts' datagrams; the same port on all hosts.

    host_address store;
    std::map<std::string, std::string> regions; ///< Region of each failure domain.
    std::vector<host_address> seeds; ///< Peer addresses of some hosts.

    std::string logTarget = "stdout"; ///< "stdout", "stderr" or a file path.
    std::string logLevel = "info";

    std::uint32_t maxConnections = 3'000;
    double leaveMs = 2'500; ///< From a leaving upstream's entry to its last new request.
    double applyMs = 2'500; ///< From a desired state's acceptance to its effect.
    double stopSeconds = 8; ///< From SIGTERM to the end of the process.
    double furtherAttemptRatio = 0.2; ///< Attempts beyond the first, for each request.
    double furtherAttemptSlack = 50; ///< The same on top, in each window.
    double furtherAttemptWindowSeconds = 10;
};

using route_settings_reading = checked_settings<route_settings>;

/// Checks @p yaml against the schema and reports all mistakes at once.
route_settings_reading readRouteSettings(std::string_view yaml);

/// Reads the file at @p path; an unreadable file is one mistake.
route_settings_reading readRouteSettingsFile(const std::string &path);

} // namespace quincefall
