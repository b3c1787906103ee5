#include "operate/resource_plan.h"

#include <set>

namespace quincefall {
namespace {

namespace json = boost::json;

std::string textMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

json::value memberOrNull(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? json::value() : *value;
}

json::array differingFields(const json::object &before, const json::object &after)
{
    std::set<std::string> names;
    for (const auto &member : before)
        names.insert(std::string(member.key()));
    for (const auto &member : after)
        names.insert(std::string(member.key()));
    json::array fields;
    for (const std::string &name : names) {
        json::value oldValue = memberOrNull(before, name);
        json::value newValue = memberOrNull(after, name);
        if (oldValue != newValue)
            fields.push_back(json::object{
                {"field", name}, {"before", std::move(oldValue)}, {"after", std::move(newValue)}});
    }
    return fields;
}

json::object refusedRow(json::object row, const error &failure)
{
    row["action"] = "refused";
    row["code"] = int(failure.code);
    row["name_of_code"] = resultInfo(failure.code).name;
    row["detail"] = failure.detail;
    return row;
}

/// Plans one resource and applies it to @p state, so that later ones can refer to it.
json::object planResource(config_state &state, const json::value &resource)
{
    const json::object empty;
    const json::object &entry = resource.is_object() ? resource.get_object() : empty;
    json::object row{{"kind", textMember(entry, "kind")}, {"name", textMember(entry, "name")}};
    const auto kind = parseResourceKind(textMember(entry, "kind"));
    if (!kind)
        return refusedRow(std::move(row), kind.error());
    const json::value *spec = entry.if_contains("spec");
    if (spec == nullptr || !spec->is_object())
        return refusedRow(std::move(row),
                          {result_code::resourceInvalid, "spec: expected a mapping"});
    config_change change;
    change.operation = "plan." + std::to_string(state.next);
    change.key = {*kind, textMember(entry, "name")};
    change.spec = spec->get_object();
    if (auto checked = validateChange(state, change); !checked)
        return refusedRow(std::move(row), checked.error());
    const auto current = state.resources.find(change.key);
    const bool exists = current != state.resources.end();
    const json::object before = exists ? current->second.json : json::object();
    const std::uint64_t version = exists ? current->second.version : 0;
    const auto parsed = parseResourceSpec(*kind, *change.spec);
    const bool isSame = exists && parsed && *parsed == current->second.spec;
    row["version"] = version;
    row["action"] = isSame ? "unchanged" : exists ? "changed" : "created";
    row["fields"] = isSame ? json::array() : differingFields(before, *change.spec);
    if (!isSame)
        applyConfigRecord(state, state.next, encodeChange(change));
    return row;
}

} // namespace

json::array planResources(const config_state &state, const json::array &resources)
{
    config_state trial = state;
    json::array rows;
    for (const json::value &resource : resources)
        rows.push_back(planResource(trial, resource));
    return rows;
}

} // namespace quincefall
