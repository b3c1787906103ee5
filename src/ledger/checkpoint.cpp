#include "ledger/checkpoint.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace quincefall {
namespace {

namespace json = boost::json;

std::string encodePart(const std::string &id, std::uint64_t next, std::size_t part,
                       std::size_t parts, std::string_view text)
{
    const json::object body{
        {"id", id}, {"next", next}, {"part", part}, {"parts", parts}, {"text", text}};
    return json::serialize(json::object{{"checkpoint", body}});
}

} // namespace

bool isCheckpointDue(const config_state &state, const checkpoint_settings &settings)
{
    return state.next - state.lastCheckpoint >= settings.intervalRecords;
}

std::vector<std::string> encodeCheckpoint(const config_state &state, const std::string &id,
                                          const checkpoint_settings &settings)
{
    const std::string text = dumpState(state);
    const std::size_t parts = (text.size() + settings.maxPartBytes - 1) / settings.maxPartBytes;
    std::vector<std::string> records;
    for (std::size_t part = 0; part < parts; ++part) {
        const auto piece
            = std::string_view(text).substr(part * settings.maxPartBytes, settings.maxPartBytes);
        records.push_back(encodePart(id, state.next, part, parts, piece));
    }
    return records;
}

std::optional<config_state> addCheckpointRecord(checkpoint_reader &reader, std::string_view record)
{
    try {
        const json::value parsed = json::parse(record);
        const json::object *object = parsed.if_object();
        if (object == nullptr || !object->contains("checkpoint"))
            return std::nullopt;
        const json::value &body = parsed.at("checkpoint");
        const std::string id(body.at("id").as_string());
        auto &partial = reader.incomplete[id];
        partial.partCount = body.at("parts").to_number<std::size_t>();
        partial.texts[body.at("part").to_number<std::size_t>()]
            = std::string(body.at("text").as_string());
        if (partial.texts.size() < partial.partCount)
            return std::nullopt;
        std::string whole;
        for (const auto &[number, text] : partial.texts)
            whole += text;
        reader.incomplete.erase(id);
        auto state = restoreState(whole);
        return state ? std::optional(std::move(*state)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace quincefall
