#include "operate/settings.h"

namespace quincefall {
namespace {

constexpr std::size_t minSecretLength = 8;

void readHost(section_reader &root, settings &values)
{
    section_reader host = root.section("host", true);
    host.text("name", values.hostName, true);
    host.text("region", values.region, true);
    host.text("failure_domain", values.failureDomain, true);
    host.rejectUnknown();
}

void readListen(section_reader &root, settings &values)
{
    section_reader listen = root.section("listen", true);
    listen.address("caller", values.callerListen);
    listen.address("peer", values.peerListen);
    listen.address("operator", values.operatorListen);
    listen.rejectUnknown();
}

void readFleet(section_reader &root, settings &values)
{
    section_reader fleet = root.section("fleet", true);
    fleet.text("secret", values.fleetSecret, true, minSecretLength);
    fleet.text("operator_key", values.operatorKey, true, minSecretLength);
    fleet.forEachItem("peers", [&values](section_reader &item) {
        peer_setting peer;
        item.text("name", peer.name, true);
        item.address("address", peer.address);
        values.peers.push_back(std::move(peer));
    });
    fleet.rejectUnknown();
}

void readPlatform(section_reader &root, settings &values)
{
    section_reader platform = root.section("platform", true);
    platform.address("log", values.logAddress);
    platform.address("hosts", values.hostListAddress);
    platform.number("checkpoint_every", values.checkpointEvery, 10, 1'000'000);
    platform.rejectUnknown();
}

void readLimits(section_reader &root, settings &values)
{
    section_reader limits = root.section("limits", false);
    limits.number("max_header_bytes", values.maxHeaderBytes, 1024, 1 << 20);
    limits.number("max_body_bytes", values.maxBodyBytes, 1024, 1 << 30);
    limits.number("max_connections", values.maxConnections, 1, 1'000'000);
    limits.number("memory_mb", values.memoryMb, 16, 1'000'000);
    limits.number("caller_timeout_ms", values.callerTimeout, 100, 600'000);
    limits.number("drain_timeout_ms", values.drainTimeout, 100, 3'600'000);
    limits.rejectUnknown();
}

} // namespace

settings_reading readSettings(std::string_view yaml)
{
    settings_reading reading;
    reading.mistakes = readYaml(yaml, [&reading](section_reader &root) {
        readHost(root, reading.values);
        readListen(root, reading.values);
        readFleet(root, reading.values);
        readPlatform(root, reading.values);
        readLogSection(root, reading.values.logTarget, reading.values.logLevel);
        readLimits(root, reading.values);
    });
    return reading;
}

settings_reading readSettingsFile(const std::string &path)
{
    return parseSettingsFile<settings>(path, readSettings);
}

} // namespace quincefall
