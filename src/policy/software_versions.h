#pragma once

#include "kernel/clock.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace quincefall {

/// The software versions of a service's upstreams, as this host has seen them listed.
///
/// Upstreams of two versions serve side by side while a release goes on, and neither can continue
/// what the other has begun.
struct version_history
{
    std::set<std::string> listed; ///< At present; empty until the first update.
    instant aloneSince = instant::min(); ///< Since when there has been only one.
    bool hasSeenOthers = false; ///< There was another one before `aloneSince`.
};

/// A listed upstream's software version and the age of its process.
struct listed_version
{
    std::string version; ///< Empty if unknown.
    microseconds age{0};
};

/// Updates the history with the upstreams that are listed now.
///
/// A host that has just started takes the age of the youngest upstream for the time during which
/// their only version has been the only one: a release replaces one upstream after the other.
void updateVersions(version_history &history, std::span<const listed_version> upstreams,
                    instant now);

/// Records an entry of @p version that was listed, also if it was removed before the next update.
void noteListed(version_history &history, const std::string &version, instant now);

/// The version of all streams that were begun during the last @p time; empty if there may be
/// several.
std::optional<std::string> onlyVersion(const version_history &history, microseconds time,
                                       instant now);

/// Whether this host has seen several versions listed during the last @p time.
bool hasSeveralVersions(const version_history &history, microseconds time, instant now);

} // namespace quincefall
