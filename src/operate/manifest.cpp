#include "operate/manifest.h"

#include "ledger/resource.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>

namespace quincefall {
namespace {

namespace json = boost::json;

/// Decimal digits that a double preserves. A longer decimal stays a string.
constexpr std::size_t maxDecimalDigits = 15;
constexpr int maxNestingDepth = 32;

/// Exception for an invalid document; readManifest turns it into an error.
struct manifest_mistake
{
    int line = 0;
    std::string text;
};

[[noreturn]] void fail(const YAML::Node &node, std::string text)
{
    throw manifest_mistake{node.Mark().line + 1, std::move(text)};
}

template <typename number_type>
std::optional<number_type> parseNumber(std::string_view text)
{
    number_type value{};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isDecimal(std::string_view text)
{
    const auto isDigit = [](char letter) { return letter >= '0' && letter <= '9'; };
    const auto digits = std::count_if(text.begin(), text.end(), isDigit);
    return digits > 0 && std::size_t(digits) <= maxDecimalDigits
        && text.find_first_not_of("0123456789.-+eE") == std::string_view::npos
        && (isDigit(text.front()) || text.front() == '-' || text.front() == '.');
}

/// Converts a plain scalar to null, a boolean or a number, or to a string if it is none of these.
json::value readPlainScalar(const std::string &text)
{
    if (text == "null" || text == "~" || text.empty())
        return nullptr;
    if (text == "true" || text == "false")
        return text == "true";
    // An integer that is not in its shortest spelling, such as 007, is a string.
    if (const auto integer = parseNumber<std::int64_t>(text);
        integer && std::to_string(*integer) == text)
        return *integer;
    const bool isNumber = isDecimal(text) && text.find_first_of(".eE") != std::string::npos;
    if (const auto real = parseNumber<double>(text); isNumber && real && std::isfinite(*real))
        return *real;
    return json::string(text);
}

json::value readNode(const YAML::Node &node, int depth);

json::object readMapping(const YAML::Node &node, int depth)
{
    json::object object;
    for (const auto &entry : node) {
        if (!entry.first.IsScalar())
            fail(entry.first, "keys must be strings");
        const std::string &key = entry.first.Scalar();
        if (object.contains(key))
            fail(entry.first, key + " is given twice");
        object[key] = readNode(entry.second, depth + 1);
    }
    return object;
}

json::value readNode(const YAML::Node &node, int depth)
{
    if (depth > maxNestingDepth)
        fail(node, "nested too deeply");
    if (node.IsMap())
        return readMapping(node, depth);
    if (node.IsSequence()) {
        json::array list;
        for (const YAML::Node &item : node)
            list.push_back(readNode(item, depth + 1));
        return list;
    }
    if (!node.IsScalar())
        return nullptr;
    // The tag "?" marks plain scalars, "!" quoted ones.
    return node.Tag() == "?" ? readPlainScalar(node.Scalar()) : json::value(node.Scalar());
}

std::string readText(const YAML::Node &document, const char *key)
{
    const YAML::Node value = document[key];
    if (!value.IsDefined() || !value.IsScalar() || value.Scalar().empty())
        fail(document, std::string(key) + ": expected a text");
    return value.Scalar();
}

declared_resource readDocument(const YAML::Node &document)
{
    if (!document.IsMap())
        fail(document, "expected a mapping with kind, name and spec");
    static const std::set<std::string> known{"kind", "name", "spec"};
    for (const auto &entry : document) {
        if (!known.contains(entry.first.Scalar()))
            fail(entry.first, entry.first.Scalar() + ": expected one of kind name spec");
    }
    declared_resource declared;
    declared.kind = readText(document, "kind");
    declared.name = readText(document, "name");
    if (!parseResourceKind(declared.kind))
        fail(document["kind"], parseResourceKind(declared.kind).error().detail);
    const YAML::Node spec = document["spec"];
    if (!spec.IsDefined() || !spec.IsMap())
        fail(document, "spec: expected a mapping");
    declared.spec = readMapping(spec, 0);
    return declared;
}

} // namespace

result<std::vector<declared_resource>> readManifest(std::string_view yaml)
{
    std::vector<declared_resource> resources;
    std::set<std::pair<std::string, std::string>> names;
    try {
        for (const YAML::Node &document : YAML::LoadAll(std::string(yaml))) {
            if (document.IsNull())
                continue;
            declared_resource declared = readDocument(document);
            if (!names.emplace(declared.kind, declared.name).second)
                fail(document, declared.kind + "/" + declared.name + " is declared twice");
            resources.push_back(std::move(declared));
        }
    } catch (const manifest_mistake &mistake) {
        return makeError(result_code::resourceInvalid,
                         "line " + std::to_string(mistake.line) + ": " + mistake.text);
    } catch (const YAML::Exception &failure) {
        return makeError(result_code::resourceInvalid,
                         "line " + std::to_string(failure.mark.line + 1) + ": " + failure.msg);
    }
    std::stable_sort(resources.begin(), resources.end(),
                     [](const declared_resource &left, const declared_resource &right) {
                         return *parseResourceKind(left.kind) < *parseResourceKind(right.kind);
                     });
    return resources;
}

} // namespace quincefall
