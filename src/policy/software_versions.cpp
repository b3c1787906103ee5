#include "policy/software_versions.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

/// Age of the upstream that started last, 0 if it is to start yet.
microseconds youngestAge(std::span<const listed_version> upstreams)
{
    const auto youngest = std::min_element(
        upstreams.begin(), upstreams.end(),
        [](const auto &left, const auto &right) { return left.age < right.age; });
    return std::max(youngest->age, microseconds(0));
}

} // namespace

void updateVersions(version_history &history, std::span<const listed_version> upstreams,
                    instant now)
{
    std::set<std::string> listed;
    for (const listed_version &upstream : upstreams)
        listed.insert(upstream.version);
    // While no upstream is listed, streams of the versions before may still be taken up.
    if (listed.empty() || listed == history.listed)
        return;
    const bool isFirst = history.listed.empty();
    history.aloneSince = isFirst ? now - youngestAge(upstreams) : now;
    history.hasSeenOthers = history.hasSeenOthers || !isFirst;
    history.listed = std::move(listed);
}

void noteListed(version_history &history, const std::string &version, instant now)
{
    if (history.listed.empty() || history.listed.contains(version))
        return;
    history.aloneSince = now;
    history.hasSeenOthers = true;
}

std::optional<std::string> onlyVersion(const version_history &history, microseconds time,
                                       instant now)
{
    if (history.listed.size() != 1 || now - history.aloneSince < time)
        return std::nullopt;
    return *history.listed.begin();
}

bool hasSeveralVersions(const version_history &history, microseconds time, instant now)
{
    return history.listed.size() > 1 || (history.hasSeenOthers && now - history.aloneSince < time);
}

} // namespace quincefall
