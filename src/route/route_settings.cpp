#include "route/route_settings.h"

namespace quincefall {
namespace {

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
    bounds.fraction("link_mbps", values.linkMbps, 0.1, 1e6);
    bounds.fraction("leave_ms", values.leaveMs, 100, 600'000);
    bounds.fraction("apply_ms", values.applyMs, 100, 600'000);
    bounds.fraction("stop_s", values.stopSeconds, 0.1, 600);
    bounds.fraction("further_attempt_ratio", values.furtherAttemptRatio, 0, 10);
    bounds.fraction("further_attempt_slack", values.furtherAttemptSlack, 0, 1e6);
    bounds.fraction("further_attempt_window_s", values.furtherAttemptWindowSeconds, 0.1, 3'600);
    bounds.rejectUnknown();
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
        readTransfer(root, reading.values);
    });
    return reading;
}

route_settings_reading readRouteSettingsFile(const std::string &path)
{
    return parseSettingsFile<route_settings>(path, readRouteSettings);
}

} // namespace quincefall
