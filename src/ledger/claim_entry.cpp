#include "ledger/claim_entry.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr std::array allActions{claim_action::claim, claim_action::result, claim_action::unknown,
                                claim_action::release};

std::string textOf(const json::object &object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

claim_action parseAction(std::string_view text)
{
    for (const claim_action action : allActions) {
        if (toString(action) == text)
            return action;
    }
    throw std::invalid_argument("unknown action");
}

json::object encodeEntry(const claim_entry &entry)
{
    json::object object{
        {"action", toString(entry.action)}, {"organisation", entry.key.organisation},
        {"service", entry.key.service},     {"key", entry.key.key},
        {"attempt", entry.attempt},         {"host", entry.host},
        {"incarnation", entry.incarnation}, {"wall_ms", entry.wall}};
    if (entry.action == claim_action::claim)
        object["digest"] = entry.digest;
    if (entry.action == claim_action::result)
        object["result"] = encodeResult(entry.result);
    return object;
}

claim_entry decodeEntry(const json::object &object)
{
    claim_entry entry;
    entry.action = parseAction(textOf(object, "action"));
    entry.key = {textOf(object, "organisation"), textOf(object, "service"), textOf(object, "key")};
    entry.attempt = textOf(object, "attempt");
    entry.host = textOf(object, "host");
    entry.incarnation = object.at("incarnation").to_number<std::uint64_t>();
    entry.wall = object.at("wall_ms").to_number<wall_milliseconds>();
    if (entry.action == claim_action::claim)
        entry.digest = textOf(object, "digest");
    if (entry.action == claim_action::result)
        entry.result = decodeResult(object.at("result").as_object());
    return entry;
}

} // namespace

std::string toString(const claim_key &key)
{
    return key.organisation + "/" + key.service + "/" + key.key;
}

std::string_view toString(claim_action action)
{
    switch (action) {
    case claim_action::claim:
        return "claim";
    case claim_action::result:
        return "result";
    case claim_action::unknown:
        return "unknown";
    case claim_action::release:
        return "release";
    }
    return "claim";
}

json::object encodeResult(const claim_result &value)
{
    return {{"status", value.status},
            {"content_type", value.contentType},
            {"body", value.body},
            {"body_kept", value.isBodyKept},
            {"body_digest", value.bodyDigest}};
}

claim_result decodeResult(const json::object &object)
{
    claim_result value;
    value.status = object.at("status").to_number<int>();
    value.contentType = textOf(object, "content_type");
    value.body = textOf(object, "body");
    value.isBodyKept = object.at("body_kept").as_bool();
    value.bodyDigest = textOf(object, "body_digest");
    return value;
}

std::string encodeBatch(std::span<const claim_entry> entries)
{
    json::array batch;
    for (const claim_entry &entry : entries)
        batch.emplace_back(encodeEntry(entry));
    return json::serialize(json::object{{"batch", std::move(batch)}});
}

result<std::vector<claim_entry>> decodeBatch(std::string_view text)
{
    std::vector<claim_entry> entries;
    try {
        const json::value parsed = json::parse(text);
        for (const json::value &entry : parsed.at("batch").as_array())
            entries.push_back(decodeEntry(entry.as_object()));
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return entries;
}

} // namespace quincefall
