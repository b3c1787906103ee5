#include "route/route_settings.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

milliseconds toWholeMilliseconds(double seconds)
{
    return milliseconds(std::llround(seconds * 1000));
}

void readHost(section_reader &root, route_settings &values)
{
    section_reader host = root.section("host", true);
    host.text("name", values.hostName, true);
    host.text("region", values.region, true);
    host.text("failure_domain", values.failureDomain, true);
    host.rejectUnknown();
}

void readListen(section_reader &root, route_settings &values)
{
    section_reader listen = root.section("listen", true);
    listen.address("caller", values.callerListen);
    listen.address("ready", values.readyListen);
    listen.address("peer", values.peerListen);
    listen.address("exchange", values.exchangeListen);
    listen.rejectUnknown();
}

void readFleet(section_reader &root, route_settings &values)
{
    section_reader fleet = root.section("fleet", true);
    fleet.address("store", values.store);
    fleet.addresses("seeds", values.seeds);
    fleet.forEachItem("failure_domains", [&values](section_reader &item) {
        std::string name;
        std::string region;
        item.text("name", name, true);
        item.text("region", region, true);
        values.regions[name] = region;
    });
    fleet.rejectUnknown();
}

void readBounds(section_reader &root, route_settings &values)
{
    section_reader bounds = root.section("bounds", false);
    bounds.number("max_connections", values.maxConnections, 1, 1'000'000);
    bounds.number("memory_mb", values.memoryMb, 16, 1'000'000);
    bounds.fraction("link_mbps", values.linkMbps, 0.1, 1e6);
    bounds.fraction("leave_ms", values.leaveMs, 100, 600'000);
    bounds.fraction("apply_ms", values.applyMs, 100, 600'000);
    bounds.fraction("stop_s", values.stopSeconds, 0.1, 600);
    bounds.fraction("further_attempt_ratio", values.furtherAttemptRatio, 0, 10);
    bounds.fraction("further_attempt_slack", values.furtherAttemptSlack, 0, 1e6);
    bounds.fraction("further_attempt_window_s", values.furtherAttemptWindowSeconds, 0.1, 3'600);
    bounds.flag("trust_closed_ends", values.trustsClosedEnds);
    bounds.rejectUnknown();
}

/// Names of duties that this version does not know are ignored.
void readDuties(section_reader &root, route_settings &values)
{
    section_reader section = root.section("duties", false);
    if (!section.isMap())
        return;
    duty_settings duties;
    std::vector<std::string> names;
    double usageWindowSeconds = 5;
    double usageDueSeconds = 10;
    section.address("platform", duties.platform);
    section.texts("names", names);
    section.fraction("calls_per_s", duties.callsPerSecond, 0.1, 1e6);
    section.flag("checks_fence", duties.checksFence);
    section.number("lease_ms", duties.lease, 100, 600'000);
    section.fraction("usage_window_s", usageWindowSeconds, 0.1, 86'400);
    section.fraction("usage_due_s", usageDueSeconds, 0.1, 86'400);
    section.rejectUnknown();
    const auto isNamed = [&names](std::string_view name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    duties.reportsUsage = isNamed("usage_report");
    duties.ordersEngines = isNamed("autoscale");
    duties.usageWindow = toWholeMilliseconds(usageWindowSeconds);
    duties.usageDue = toWholeMilliseconds(usageDueSeconds);
    if (duties.reportsUsage || duties.ordersEngines)
        values.duties = std::move(duties);
}

void readTransfer(section_reader &root, route_settings &values)
{
    section_reader transfer = root.section("transfer", false);
    if (!transfer.isMap())
        return;
    transfer_terms &terms = values.transfer.emplace();
    transfer.fraction("domain_ms_per_mb", terms.domainMsPerMb, 0, 1e6);
    transfer.fraction("region_ms_per_mb", terms.regionMsPerMb, 0, 1e6);
    transfer.fraction("region_link_mbps", terms.regionLinkMbps, 0, 1e7);
    transfer.rejectUnknown();
}

} // namespace

route_settings_reading readRouteSettings(std::string_view yaml)
{
    route_settings_reading reading;
    reading.mistakes = readYaml(yaml, [&reading](section_reader &root) {
        readHost(root, reading.values);
        readListen(root, reading.values);
        readFleet(root, reading.values);
        readLogSection(root, reading.values.logTarget, reading.values.logLevel);
        readBounds(root, reading.values);
        readDuties(root, reading.values);
        readTransfer(root, reading.values);
    });
    return reading;
}

route_settings_reading readRouteSettingsFile(const std::string &path)
{
    return parseSettingsFile<route_settings>(path, readRouteSettings);
}

} // namespace quincefall
