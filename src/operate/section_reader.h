#pragma once

#include "kernel/address.h"
#include "kernel/result.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// One mistake in a settings file.
struct settings_mistake
{
    int line = 0; ///< From 1; 0 if the mistake belongs to no line.
    std::string key; ///< Path such as "listen.caller".
    std::string expected;
};

/// Formats @p mistake for display: "file:line: key: expected ...".
std::string describe(const settings_mistake &mistake, std::string_view file);

/// Reads values of one YAML mapping by key and appends a mistake for each that is missing or
/// invalid. Also keeps the names of the keys read, so that rejectUnknown() can report all others.
class section_reader
{
public:
    section_reader(const YAML::Node &node, std::string path,
                   std::vector<settings_mistake> &mistakes);

    bool isMap() const { return m_node.IsDefined() && m_node.IsMap(); }

    section_reader section(const std::string &key, bool isRequired);
    void text(const std::string &key, std::string &value, bool isRequired,
              std::size_t minLength = 1);
    void choice(const std::string &key, std::string &value,
                std::span<const std::string_view> options);
    void address(const std::string &key, host_address &value);
    void addresses(const std::string &key, std::vector<host_address> &values);
    void texts(const std::string &key, std::vector<std::string> &values);
    void forEachItem(const std::string &key, const std::function<void(section_reader &)> &function);

    /// Reads an optional whole number from @p minimum to @p maximum.
    template <typename number_type>
    void number(const std::string &key, number_type &value, std::int64_t minimum,
                std::int64_t maximum)
    {
        const std::string expected = expectedNumber(minimum, maximum);
        const YAML::Node child = scalar(key, expected, false);
        if (!child.IsDefined())
            return;
        std::int64_t parsed = 0;
        if (YAML::convert<std::int64_t>::decode(child, parsed) && parsed >= minimum
            && parsed <= maximum)
            value = number_type(parsed);
        else
            reportScalar(child, key, expected);
    }

    /// Reads an optional number from @p minimum to @p maximum, which may have a fractional part.
    void fraction(const std::string &key, double &value, double minimum, double maximum);

    /// Reads an optional `true` or `false`.
    void flag(const std::string &key, bool &value);

    /// Reports the keys of the mapping that were not read.
    void rejectUnknown();

private:
    static std::string expectedNumber(std::int64_t minimum, std::int64_t maximum);
    YAML::Node lookUp(const std::string &key);
    YAML::Node scalar(const std::string &key, const std::string &expected, bool isRequired);
    std::string pathOf(const std::string &key) const;
    std::string knownKeys() const;
    void reportMissing(const std::string &key, const std::string &expected);
    void reportScalar(const YAML::Node &child, const std::string &key, std::string expected);
    void report(int line, std::string key, std::string expected);

    YAML::Node m_node;
    std::string m_path;
    std::vector<settings_mistake> &m_mistakes;
    std::set<std::string> m_knownKeys;
};

/// Parses @p yaml, calls @p function with its root mapping, and reports unknown keys of the root.
std::vector<settings_mistake> readYaml(std::string_view yaml,
                                       const std::function<void(section_reader &)> &function);

/// Reads the section `log`, which the settings of all kinds of process share.
void readLogSection(section_reader &root, std::string &target, std::string &level);

/// Text of the file at @p path. Fails with settingsUnreadable.
result<std::string> readTextFile(const std::string &path);

/// Result of reading a settings file. The settings can be used only if there are no mistakes.
template <typename settings_type>
struct checked_settings
{
    settings_type values;
    std::vector<settings_mistake> mistakes;
};

/// Reads the file at @p path and parses its text with @p read. An unreadable file is one mistake.
template <typename settings_type>
checked_settings<settings_type>
parseSettingsFile(const std::string &path,
                  const std::function<checked_settings<settings_type>(std::string_view)> &read)
{
    const auto text = readTextFile(path);
    if (text)
        return read(*text);
    return {{}, {{0, "", "a readable file"}}};
}

} // namespace quincefall
