#include "ledger/config_state.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cassert>

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr std::size_t maxStoredOutcomes = 20'000;
constexpr std::size_t maxOperationIdLength = 128;

void storeOutcome(config_state &state, const operation_outcome &outcome)
{
    state.outcomeOffsets[outcome.operation] = outcome.offset;
    state.outcomes.push_back(outcome);
    if (state.outcomes.size() <= maxStoredOutcomes)
        return;
    const operation_outcome &oldest = state.outcomes.front();
    const auto entry = state.outcomeOffsets.find(oldest.operation);
    if (entry != state.outcomeOffsets.end() && entry->second == oldest.offset)
        state.outcomeOffsets.erase(entry);
    state.outcomes.pop_front();
}

result<config_change> decodeChange(const json::object &record)
{
    config_change change;
    const auto text = [&record](std::string_view name) -> std::string {
        const json::value *value = record.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
    };
    change.operation = text("operation");
    if (change.operation.empty() || change.operation.size() > maxOperationIdLength)
        return makeError(result_code::resourceInvalid,
                         "operation: expected a string of 1 to 128 bytes");
    const auto kind = parseResourceKind(text("kind"));
    if (!kind)
        return tl::unexpected(kind.error());
    change.key = {*kind, text("name")};
    if (const json::value *expected = record.if_contains("expected_version")) {
        boost::system::error_code failure;
        change.expectedVersion = expected->to_number<std::uint64_t>(failure);
        if (failure)
            return makeError(result_code::resourceInvalid,
                             "expected_version: expected a whole number");
    }
    if (const json::value *spec = record.if_contains("spec")) {
        if (!spec->is_object())
            return makeError(result_code::resourceInvalid, "spec: expected an object");
        change.spec = spec->get_object();
    }
    return change;
}

std::uint64_t versionOf(const config_state &state, const resource_key &key)
{
    const auto entry = state.resources.find(key);
    return entry == state.resources.end() ? 0 : entry->second.version;
}

result<void> checkVersion(const config_state &state, const config_change &change)
{
    const std::uint64_t current = versionOf(state, change.key);
    if (!change.expectedVersion || *change.expectedVersion == current)
        return {};
    const auto entry = state.resources.find(change.key);
    const std::string reason = entry == state.resources.end()
        ? "it does not exist"
        : "set by operation " + entry->second.operation;
    return makeError(result_code::versionConflict,
                     toString(change.key) + " is at version " + std::to_string(current) + " ("
                         + reason + "), expected " + std::to_string(*change.expectedVersion));
}

result<void> checkDelete(const config_state &state, const config_change &change)
{
    if (!state.resources.contains(change.key))
        return makeError(result_code::resourceNotFound, toString(change.key));
    for (const auto &[key, stored] : state.resources) {
        const auto named = references(stored.spec);
        if (std::find(named.begin(), named.end(), change.key) != named.end())
            return makeError(result_code::referenceMissing,
                             toString(change.key) + " is still named by " + toString(key));
    }
    return {};
}

result<void> checkReferences(const config_state &state, const resource_spec &spec)
{
    for (const resource_key &key : references(spec)) {
        if (!state.resources.contains(key))
            return makeError(result_code::referenceMissing, toString(key) + " does not exist");
    }
    return {};
}

result<std::optional<resource_spec>> checkChange(const config_state &state,
                                                 const config_change &change)
{
    if (!isResourceName(change.key.name))
        return makeError(result_code::resourceInvalid,
                         "name: expected 1 to 63 characters out of a-z, 0-9 and -");
    if (auto version = checkVersion(state, change); !version)
        return tl::unexpected(version.error());
    if (!change.spec) {
        if (auto removal = checkDelete(state, change); !removal)
            return tl::unexpected(removal.error());
        return std::nullopt;
    }
    auto spec = parseResourceSpec(change.key.kind, *change.spec);
    if (!spec)
        return tl::unexpected(spec.error());
    if (auto named = checkReferences(state, *spec); !named)
        return tl::unexpected(named.error());
    return std::optional(std::move(*spec));
}

config_effect applyChange(config_state &state, std::uint64_t offset, const config_change &change)
{
    config_effect effect;
    operation_outcome outcome{change.operation, result_code::ok, offset, ""};
    auto checked = checkChange(state, change);
    if (!checked) {
        outcome.code = checked.error().code;
        outcome.detail = checked.error().detail;
    } else if (*checked) {
        state.resources[change.key]
            = {offset + 1, change.operation, *change.spec, std::move(**checked)};
        effect.changed = change.key;
    } else {
        state.resources.erase(change.key);
        effect.changed = change.key;
    }
    storeOutcome(state, outcome);
    effect.outcome = std::move(outcome);
    return effect;
}

std::optional<std::uint64_t> readUnsigned(const json::object &body, std::string_view name)
{
    const json::value *value = body.if_contains(name);
    boost::system::error_code failure;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(failure);
    return value == nullptr || failure ? std::nullopt : std::optional(number);
}

/// Records how far the newest complete checkpoint reaches, so that other hosts do not write another
/// one. Parts are appended in order, so the last part completes the checkpoint.
void trackCheckpoint(config_state &state, const json::value &checkpoint)
{
    const json::object *body = checkpoint.if_object();
    if (body == nullptr)
        return;
    const auto next = readUnsigned(*body, "next");
    const auto part = readUnsigned(*body, "part");
    const auto parts = readUnsigned(*body, "parts");
    if (next && part && parts && *part + 1 == *parts && *next <= state.next)
        state.lastCheckpoint = std::max(state.lastCheckpoint, *next);
}

json::object dumpResource(const resource_key &key, const stored_resource &stored)
{
    return {{"kind", toString(key.kind)},
            {"name", key.name},
            {"version", stored.version},
            {"operation", stored.operation},
            {"spec", stored.json}};
}

json::object dumpOutcome(const operation_outcome &outcome)
{
    return {{"operation", outcome.operation},
            {"code", int(outcome.code)},
            {"offset", outcome.offset},
            {"detail", outcome.detail}};
}

void restoreResource(config_state &state, const json::object &entry)
{
    const auto kind = parseResourceKind(std::string_view(entry.at("kind").as_string()));
    if (!kind)
        return;
    stored_resource stored;
    stored.version = entry.at("version").to_number<std::uint64_t>();
    stored.operation = std::string(entry.at("operation").as_string());
    stored.json = entry.at("spec").as_object();
    auto spec = parseResourceSpec(*kind, stored.json);
    if (!spec)
        return;
    stored.spec = std::move(*spec);
    state.resources[{*kind, std::string(entry.at("name").as_string())}] = std::move(stored);
}

} // namespace

std::string encodeChange(const config_change &change)
{
    json::object record{{"operation", change.operation},
                        {"kind", toString(change.key.kind)},
                        {"name", change.key.name}};
    if (change.expectedVersion)
        record["expected_version"] = *change.expectedVersion;
    if (change.spec)
        record["spec"] = *change.spec;
    return json::serialize(record);
}

config_effect applyConfigRecord(config_state &state, std::uint64_t offset, std::string_view record)
{
    assert(offset == state.next);
    state.next = offset + 1;
    boost::system::error_code failure;
    const json::value parsed = json::parse(record, failure);
    if (failure || !parsed.is_object())
        return {};
    if (const json::value *checkpoint = parsed.get_object().if_contains("checkpoint")) {
        trackCheckpoint(state, *checkpoint);
        return {};
    }
    auto change = decodeChange(parsed.get_object());
    if (!change)
        return {operation_outcome{"", change.error().code, offset, change.error().detail}, {}};
    if (findOutcome(state, change->operation) != nullptr)
        return {};
    return applyChange(state, offset, *change);
}

const operation_outcome *findOutcome(const config_state &state, const std::string &operation)
{
    const auto entry = state.outcomeOffsets.find(operation);
    if (entry == state.outcomeOffsets.end())
        return nullptr;
    const auto outcome = std::lower_bound(
        state.outcomes.begin(), state.outcomes.end(), entry->second,
        [](const operation_outcome &left, std::uint64_t offset) { return left.offset < offset; });
    return outcome == state.outcomes.end() ? nullptr : &*outcome;
}

const upstream *findUpstream(const config_state &state, const std::string &pool,
                             const std::string &name)
{
    const auto *declared = findSpec<upstream_pool>(state, resource_kind::pool, pool);
    if (declared == nullptr)
        return nullptr;
    const auto found = std::find_if(declared->upstreams.begin(), declared->upstreams.end(),
                                    [&name](const upstream &entry) { return entry.name == name; });
    return found == declared->upstreams.end() ? nullptr : &*found;
}

result<void> validateChange(const config_state &state, const config_change &change)
{
    auto checked = checkChange(state, change);
    if (!checked)
        return tl::unexpected(checked.error());
    return {};
}

std::string dumpState(const config_state &state)
{
    json::array resources;
    for (const auto &[key, stored] : state.resources)
        resources.push_back(dumpResource(key, stored));
    json::array outcomes;
    for (const operation_outcome &outcome : state.outcomes)
        outcomes.push_back(dumpOutcome(outcome));
    return json::serialize(json::object{{"next", state.next},
                                        {"resources", std::move(resources)},
                                        {"outcomes", std::move(outcomes)}});
}

result<config_state> restoreState(std::string_view text)
{
    config_state state;
    try {
        const json::value parsed = json::parse(text);
        state.next = parsed.at("next").to_number<std::uint64_t>();
        for (const json::value &entry : parsed.at("resources").as_array())
            restoreResource(state, entry.as_object());
        for (const json::value &entry : parsed.at("outcomes").as_array()) {
            storeOutcome(state,
                         {std::string(entry.at("operation").as_string()),
                          result_code(entry.at("code").to_number<int>()),
                          entry.at("offset").to_number<std::uint64_t>(),
                          std::string(entry.at("detail").as_string())});
        }
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return state;
}

} // namespace quincefall
