#include "operate/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <set>
#include <span>
#include <sstream>

namespace quincefall {
namespace {

constexpr std::size_t shortestSecret = 8;

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

/// Reads one YAML mapping, remembers which keys were asked for and collects the mistakes.
class section_reader
{
public:
    section_reader(const YAML::Node &node, std::string path,
                   std::vector<settings_mistake> &mistakes)
        : m_node(node)
        , m_path(std::move(path))
        , m_mistakes(mistakes)
    {
        if (m_node.IsDefined() && !m_node.IsMap())
            report(lineOf(m_node), m_path, "a mapping");
    }

    bool isMap() const { return m_node.IsDefined() && m_node.IsMap(); }

    section_reader section(const std::string &key, bool isRequired)
    {
        const YAML::Node child = take(key);
        if (isRequired && !child.IsDefined())
            reportMissing(key, "a mapping");
        return {child, pathOf(key), m_mistakes};
    }

    void text(const std::string &key, std::string &value, bool isRequired, std::size_t shortest = 1)
    {
        const YAML::Node child = scalar(key, "a text", isRequired);
        if (!child.IsDefined())
            return;
        value = child.Scalar();
        if (value.size() < shortest)
            report(lineOf(child), pathOf(key),
                   "a text of at least " + std::to_string(shortest) + " characters");
    }

    void choice(const std::string &key, std::string &value,
                std::span<const std::string_view> options)
    {
        const YAML::Node child = scalar(key, "a text", false);
        if (!child.IsDefined())
            return;
        value = child.Scalar();
        if (std::find(options.begin(), options.end(), value) != options.end())
            return;
        std::string expected = "one of";
        for (const std::string_view option : options)
            expected += " " + std::string(option);
        report(lineOf(child), pathOf(key), expected);
    }

    void address(const std::string &key, host_address &value)
    {
        const YAML::Node child = scalar(key, "an address of the form ip:port", true);
        if (!child.IsDefined())
            return;
        if (auto parsed = parseAddress(child.Scalar()))
            value = *parsed;
        else
            report(lineOf(child), pathOf(key), "an address of the form ip:port");
    }

    template <typename number_type>
    void number(const std::string &key, number_type &value, std::int64_t lowest,
                std::int64_t highest)
    {
        const std::string expected
            = "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
        const YAML::Node child = scalar(key, expected, false);
        if (!child.IsDefined())
            return;
        std::int64_t parsed = 0;
        if (YAML::convert<std::int64_t>::decode(child, parsed) && parsed >= lowest
            && parsed <= highest)
            value = number_type(parsed);
        else
            report(lineOf(child), pathOf(key), expected);
    }

    void each(const std::string &key, const std::function<void(section_reader &)> &function)
    {
        const YAML::Node child = take(key);
        if (!child.IsDefined())
            return;
        if (!child.IsSequence()) {
            report(lineOf(child), pathOf(key), "a list");
            return;
        }
        for (std::size_t index = 0; index < child.size(); ++index) {
            section_reader item(child[index], pathOf(key) + "[" + std::to_string(index) + "]",
                                m_mistakes);
            function(item);
            item.rejectUnknown();
        }
    }

    /// Reports keys that nobody asked for.
    void rejectUnknown()
    {
        if (!isMap())
            return;
        for (const auto &entry : m_node) {
            const std::string key = entry.first.Scalar();
            if (!m_known.contains(key))
                report(lineOf(entry.first), pathOf(key), "one of" + knownKeys());
        }
    }

private:
    YAML::Node take(const std::string &key)
    {
        m_known.insert(key);
        return isMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    }

    YAML::Node scalar(const std::string &key, const std::string &expected, bool isRequired)
    {
        const YAML::Node child = take(key);
        if (!child.IsDefined()) {
            if (isRequired)
                reportMissing(key, expected);
            return child;
        }
        if (child.IsScalar())
            return child;
        report(lineOf(child), pathOf(key), expected);
        return YAML::Node(YAML::NodeType::Undefined);
    }

    std::string pathOf(const std::string &key) const
    {
        return m_path.empty() ? key : m_path + "." + key;
    }

    std::string knownKeys() const
    {
        std::string keys;
        for (const std::string &key : m_known)
            keys += " " + key;
        return keys;
    }

    void reportMissing(const std::string &key, const std::string &expected)
    {
        const int line = isMap() ? lineOf(m_node) : 0;
        report(line, pathOf(key), expected + "; the key is missing");
    }

    void report(int line, std::string key, std::string expected)
    {
        m_mistakes.push_back({line, std::move(key), std::move(expected)});
    }

    YAML::Node m_node;
    std::string m_path;
    std::vector<settings_mistake> &m_mistakes;
    std::set<std::string> m_known;
};

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
    fleet.text("secret", values.fleetSecret, true, shortestSecret);
    fleet.text("operator_key", values.operatorKey, true, shortestSecret);
    fleet.each("peers", [&values](section_reader &item) {
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
    platform.address("log", values.log);
    platform.address("hosts", values.hostList);
    platform.number("checkpoint_every", values.checkpointEvery, 10, 1'000'000);
    platform.rejectUnknown();
}

void readLog(section_reader &root, settings &values)
{
    static constexpr std::array<std::string_view, 5> levels{"trace", "debug", "info", "warn",
                                                            "error"};
    section_reader log = root.section("log", false);
    log.text("target", values.logTarget, false);
    log.choice("level", values.logLevel, levels);
    log.rejectUnknown();
}

void readLimits(section_reader &root, settings &values)
{
    section_reader limits = root.section("limits", false);
    limits.number("max_header_bytes", values.maxHeaderBytes, 1024, 1 << 20);
    limits.number("max_body_bytes", values.maxBodyBytes, 1024, 1 << 30);
    limits.number("max_connections", values.maxConnections, 1, 1'000'000);
    limits.number("caller_timeout_ms", values.callerTimeout, 100, 600'000);
    limits.number("drain_timeout_ms", values.drainTimeout, 100, 3'600'000);
    limits.rejectUnknown();
}

} // namespace

settings_reading readSettings(std::string_view yaml)
{
    settings_reading reading;
    YAML::Node document;
    try {
        document = YAML::Load(std::string(yaml));
    } catch (const YAML::Exception &failure) {
        reading.mistakes.push_back({failure.mark.line + 1, "", "valid YAML: " + failure.msg});
        return reading;
    }
    section_reader root(document, "", reading.mistakes);
    readHost(root, reading.values);
    readListen(root, reading.values);
    readFleet(root, reading.values);
    readPlatform(root, reading.values);
    readLog(root, reading.values);
    readLimits(root, reading.values);
    root.rejectUnknown();
    return reading;
}

settings_reading readSettingsFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        settings_reading reading;
        reading.mistakes.push_back({0, "", "a readable file"});
        return reading;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return readSettings(text.str());
}

std::string describe(const settings_mistake &mistake, std::string_view file)
{
    std::string text(file);
    if (mistake.line > 0)
        text += ":" + std::to_string(mistake.line);
    if (!mistake.key.empty())
        text += ": " + mistake.key;
    return text + ": expected " + mistake.expected;
}

} // namespace quincefall
