#include "ledger/resource.h"

#include "ledger/field_reader.h"

#include <algorithm>
#include <array>
#include <set>

namespace quincefall {
namespace {

constexpr std::int64_t maxDurationMs = 3'600'000;
constexpr std::size_t maxNameLength = 63;
constexpr double maxLinkBytesPerSecond = 1e12;
constexpr std::size_t sha256HexDigits = 64;

struct kind_name
{
    resource_kind kind;
    std::string_view text;
};

constexpr std::array kindNames{
    kind_name{resource_kind::serviceClass, "service_class"},
    kind_name{resource_kind::organisation, "organisation"},
    kind_name{resource_kind::pool, "pool"},
    kind_name{resource_kind::model, "model"},
    kind_name{resource_kind::service, "service"},
};

milliseconds readDuration(field_reader &fields, std::string_view name, milliseconds fallback)
{
    return milliseconds(fields.integer(name, fallback.count(), 1, maxDurationMs));
}

service_class readServiceClass(field_reader &fields)
{
    service_class value;
    value.tier = int(fields.requiredInteger("tier", 1, 4));
    value.firstTokenTarget = readDuration(fields, "first_token_ms", value.firstTokenTarget);
    value.tokenGapTarget = readDuration(fields, "token_gap_ms", value.tokenGapTarget);
    value.maxWait = readDuration(fields, "max_wait_ms", value.maxWait);
    value.guaranteedShare = fields.number("share", value.guaranteedShare, 0, 0.5);
    return value;
}

bool isSha256Hex(std::string_view text)
{
    return text.size() == sha256HexDigits
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

organisation readOrganisation(field_reader &fields)
{
    organisation value;
    value.keyHashes = fields.texts("key_sha256");
    if (!std::all_of(value.keyHashes.begin(), value.keyHashes.end(), isSha256Hex))
        fields.report("key_sha256", "SHA-256 digests of 64 lower-case hexadecimal digits");
    value.defaultClass = fields.requiredText("default_class");
    value.classes = fields.texts("classes");
    value.maxInFlight = std::uint32_t(fields.integer("max_in_flight", 0, 0, 1'000'000));
    value.weight = fields.number("weight", value.weight, 0.01, 1000);
    return value;
}

upstream readUpstream(field_reader &fields)
{
    upstream value;
    value.name = fields.requiredText("name");
    const std::string address = fields.requiredText("address");
    if (auto parsed = parseAddress(address))
        value.address = *parsed;
    else if (!address.empty())
        fields.report("address", "an address of the form ip:port");
    value.region = fields.requiredText("region");
    value.failureDomain = fields.requiredText("failure_domain");
    value.slots = std::uint32_t(fields.integer("slots", 8, 1, 100'000));
    value.checksFencing = fields.boolean("checks_fencing", value.checksFencing);
    return value;
}

upstream_pool readPool(field_reader &fields)
{
    upstream_pool value;
    fields.objects("upstreams",
                   [&value](field_reader &item) { value.upstreams.push_back(readUpstream(item)); });
    value.crossRegionBytesPerSecond
        = fields.number("cross_region_bytes_per_second", 0, 0, maxLinkBytesPerSecond);
    std::set<std::string> names;
    for (const upstream &entry : value.upstreams)
        names.insert(entry.name);
    if (names.size() != value.upstreams.size())
        fields.report("upstreams", "upstreams with unique names");
    return value;
}

model readModel(field_reader &fields)
{
    model value;
    value.pool = fields.requiredText("pool");
    value.version = fields.text("version", value.version);
    value.adapters = fields.texts("adapters");
    value.replicas = std::uint32_t(fields.integer("replicas", 0, 0, 100'000));
    return value;
}

plain_service readService(field_reader &fields)
{
    plain_service value;
    value.pool = fields.requiredText("pool");
    value.isRepeatable = fields.boolean("repeatable", value.isRepeatable);
    value.timeout = readDuration(fields, "timeout_ms", value.timeout);
    return value;
}

resource_spec readSpec(resource_kind kind, field_reader &fields)
{
    switch (kind) {
    case resource_kind::serviceClass:
        return readServiceClass(fields);
    case resource_kind::organisation:
        return readOrganisation(fields);
    case resource_kind::pool:
        return readPool(fields);
    case resource_kind::model:
        return readModel(fields);
    case resource_kind::service:
        return readService(fields);
    }
    return {};
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += (text.empty() ? "" : "; ") + line;
    return text;
}

} // namespace

std::string_view toString(resource_kind kind)
{
    const auto row = std::find_if(kindNames.begin(), kindNames.end(),
                                  [kind](const kind_name &entry) { return entry.kind == kind; });
    return row->text;
}

result<resource_kind> parseResourceKind(std::string_view text)
{
    const auto row = std::find_if(kindNames.begin(), kindNames.end(),
                                  [text](const kind_name &entry) { return entry.text == text; });
    if (row == kindNames.end())
        return makeError(result_code::resourceInvalid,
                         "kind: expected one of service_class, organisation, pool, model, service");
    return row->kind;
}

std::string toString(const resource_key &key)
{
    return std::string(toString(key.kind)) + "/" + key.name;
}

result<resource_spec> parseResourceSpec(resource_kind kind, const boost::json::object &spec)
{
    std::vector<std::string> errors;
    field_reader fields(spec, "", errors);
    resource_spec parsed = readSpec(kind, fields);
    fields.rejectUnknown();
    if (!errors.empty())
        return makeError(result_code::resourceInvalid, joined(errors));
    return parsed;
}

std::vector<resource_key> references(const resource_spec &spec)
{
    std::vector<resource_key> keys;
    if (const auto *customer = std::get_if<organisation>(&spec)) {
        keys.push_back({resource_kind::serviceClass, customer->defaultClass});
        for (const std::string &name : customer->classes)
            keys.push_back({resource_kind::serviceClass, name});
    } else if (const auto *served = std::get_if<model>(&spec)) {
        keys.push_back({resource_kind::pool, served->pool});
    } else if (const auto *plain = std::get_if<plain_service>(&spec)) {
        keys.push_back({resource_kind::pool, plain->pool});
    }
    return keys;
}

bool isResourceName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
    return !name.empty() && name.size() <= maxNameLength && name.front() != '-'
        && name.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace quincefall
