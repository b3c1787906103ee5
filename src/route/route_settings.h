#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "operate/section_reader.h"
#include "policy/zone_choice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// What the platform asks of the one host that holds the fleet's duties.
struct duty_settings
{
    host_address platform; ///< Takes usage reports and orders of engines.
    bool reportsUsage = false;
    bool ordersEngines = false;
    double callsPerSecond = 50; ///< Of all hosts together.
    bool checksFence = false; ///< The platform refuses calls with an outdated fencing token.
    milliseconds lease{3'000}; ///< Within which duties may not change back to an earlier holder.
    milliseconds usageWindow{5'000};
    milliseconds usageDue{10'000}; ///< After a window's end.
};

/// Settings of one `quincefall route` process, read from a YAML file.
struct route_settings
{
    std::string hostName;
    std::string region;
    std::string failureDomain;

    host_address callerListen;
    host_address readyListen;
    host_address peerListen; ///< For other hosts and the metrics scraper.
    host_address exchangeListen; ///< UDP, for load hints; the same port on all hosts.

    host_address store;
    std::map<std::string, std::string> regions; ///< Region of each failure domain.
    std::vector<host_address> seeds; ///< Peers until the list of hosts is read.

    std::string logTarget = "stdout"; ///< "stdout", "stderr" or a file path.
    std::string logLevel = "info";

    std::uint32_t maxConnections = 3'000;
    double linkMbps = 10; ///< Of the host's network link.
    std::uint32_t memoryMb = 256; ///< That the process may use.
    /// Time from an upstream's listing as leaving to the last new request that it gets.
    double leaveMs = 2'500;
    /// Time from the acceptance of a desired state to its effect.
    double applyMs = 2'500;
    double stopSeconds = 8; ///< From SIGTERM to the exit of the process.
    double furtherAttemptRatio = 0.2; ///< Attempts beyond the first, per request.
    double furtherAttemptSlack = 50; ///< Further attempts per window on top.
    double furtherAttemptWindowSeconds = 10;
    /// Whether upstreams that live end answers without a length or chunks only once they are whole.
    bool trustsClosedEnds = false;

    /// Empty if the settings don't say what transfers between failure domains are worth.
    std::optional<transfer_terms> transfer;

    std::optional<duty_settings> duties; ///< Empty if the settings name none.
};

using route_settings_reading = checked_settings<route_settings>;

/// Checks @p yaml against the schema and reports all mistakes at once.
route_settings_reading readRouteSettings(std::string_view yaml);

/// Reads the file at @p path; a file that can't be read is reported as one mistake.
route_settings_reading readRouteSettingsFile(const std::string &path);

} // namespace quincefall
