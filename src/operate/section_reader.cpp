#include "operate/section_reader.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace quincefall {
namespace {

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

} // namespace

section_reader::section_reader(const YAML::Node &node, std::string path,
                               std::vector<settings_mistake> &mistakes)
    : m_node(node)
    , m_path(std::move(path))
    , m_mistakes(mistakes)
{
    if (m_node.IsDefined() && !m_node.IsMap())
        report(lineOf(m_node), m_path, "a mapping");
}

section_reader section_reader::section(const std::string &key, bool isRequired)
{
    const YAML::Node child = lookUp(key);
    if (isRequired && !child.IsDefined())
        reportMissing(key, "a mapping");
    return {child, pathOf(key), m_mistakes};
}

void section_reader::text(const std::string &key, std::string &value, bool isRequired,
                          std::size_t minLength)
{
    const YAML::Node child = scalar(key, "a text", isRequired);
    if (!child.IsDefined())
        return;
    value = child.Scalar();
    if (value.size() < minLength)
        report(lineOf(child), pathOf(key),
               "a text of at least " + std::to_string(minLength) + " characters");
}

void section_reader::choice(const std::string &key, std::string &value,
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

void section_reader::address(const std::string &key, host_address &value)
{
    const std::string expected = "an address of the form ip:port";
    const YAML::Node child = scalar(key, expected, true);
    if (!child.IsDefined())
        return;
    if (auto parsed = parseAddress(child.Scalar()))
        value = *parsed;
    else
        reportScalar(child, key, expected);
}

void section_reader::addresses(const std::string &key, std::vector<host_address> &values)
{
    const YAML::Node child = lookUp(key);
    if (!child.IsDefined())
        return;
    if (!child.IsSequence()) {
        report(lineOf(child), pathOf(key), "a list");
        return;
    }
    for (const auto &item : child) {
        if (auto parsed = item.IsScalar() ? parseAddress(item.Scalar()) : result<host_address>())
            values.push_back(*parsed);
        else
            report(lineOf(item), pathOf(key), "addresses of the form ip:port");
    }
}

void section_reader::texts(const std::string &key, std::vector<std::string> &values)
{
    const YAML::Node child = lookUp(key);
    if (!child.IsDefined())
        return;
    if (!child.IsSequence()) {
        report(lineOf(child), pathOf(key), "a list");
        return;
    }
    for (const auto &item : child) {
        if (item.IsScalar())
            values.push_back(item.Scalar());
        else
            report(lineOf(item), pathOf(key), "texts");
    }
}

void section_reader::forEachItem(const std::string &key,
                                 const std::function<void(section_reader &)> &function)
{
    const YAML::Node child = lookUp(key);
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

void section_reader::fraction(const std::string &key, double &value, double minimum, double maximum)
{
    std::ostringstream expected;
    expected << "a number from " << minimum << " to " << maximum;
    const YAML::Node child = scalar(key, expected.str(), false);
    if (!child.IsDefined())
        return;
    double parsed = 0;
    if (YAML::convert<double>::decode(child, parsed) && parsed >= minimum && parsed <= maximum)
        value = parsed;
    else
        reportScalar(child, key, expected.str());
}

void section_reader::flag(const std::string &key, bool &value)
{
    const std::string expected = "true or false";
    const YAML::Node child = scalar(key, expected, false);
    if (!child.IsDefined())
        return;
    bool parsed = false;
    if (YAML::convert<bool>::decode(child, parsed))
        value = parsed;
    else
        reportScalar(child, key, expected);
}

void section_reader::rejectUnknown()
{
    if (!isMap())
        return;
    for (const auto &entry : m_node) {
        const std::string key = entry.first.Scalar();
        if (!m_knownKeys.contains(key))
            report(lineOf(entry.first), pathOf(key), "one of" + knownKeys());
    }
}

std::string section_reader::expectedNumber(std::int64_t minimum, std::int64_t maximum)
{
    return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

YAML::Node section_reader::lookUp(const std::string &key)
{
    m_knownKeys.insert(key);
    return isMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
}

YAML::Node section_reader::scalar(const std::string &key, const std::string &expected,
                                  bool isRequired)
{
    const YAML::Node child = lookUp(key);
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

std::string section_reader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

std::string section_reader::knownKeys() const
{
    std::string keys;
    for (const std::string &key : m_knownKeys)
        keys += " " + key;
    return keys;
}

void section_reader::reportMissing(const std::string &key, const std::string &expected)
{
    const int line = isMap() ? lineOf(m_node) : 0;
    report(line, pathOf(key), expected + "; the key is missing");
}

void section_reader::reportScalar(const YAML::Node &child, const std::string &key,
                                  std::string expected)
{
    report(lineOf(child), pathOf(key), std::move(expected));
}

void section_reader::report(int line, std::string key, std::string expected)
{
    m_mistakes.push_back({line, std::move(key), std::move(expected)});
}

std::vector<settings_mistake> readYaml(std::string_view yaml,
                                       const std::function<void(section_reader &)> &function)
{
    std::vector<settings_mistake> mistakes;
    YAML::Node document;
    try {
        document = YAML::Load(std::string(yaml));
    } catch (const YAML::Exception &failure) {
        mistakes.push_back({failure.mark.line + 1, "", "valid YAML: " + failure.msg});
        return mistakes;
    }
    section_reader root(document, "", mistakes);
    function(root);
    root.rejectUnknown();
    return mistakes;
}

void readLogSection(section_reader &root, std::string &target, std::string &level)
{
    static constexpr std::array<std::string_view, 5> levels{"trace", "debug", "info", "warn",
                                                            "error"};
    section_reader log = root.section("log", false);
    log.text("target", target, false);
    log.choice("level", level, levels);
    log.rejectUnknown();
}

result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(result_code::settingsUnreadable, path + " is not readable");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
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
