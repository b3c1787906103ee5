#include "ledger/claim_table.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cassert>

namespace quincefall {
namespace {

namespace json = boost::json;

void expireClaims(claim_table &table, wall_milliseconds oldest)
{
    while (!table.claimsByTime.empty() && table.claimsByTime.front().first < oldest) {
        const auto &[key, attempt] = table.claimsByTime.front().second;
        const auto claim = table.claims.find(key);
        if (claim != table.claims.end() && claim->second.attempt == attempt)
            table.claims.erase(claim);
        table.claimsByTime.pop_front();
    }
}

void expireReleases(claim_table &table, wall_milliseconds oldest)
{
    while (!table.releasesByTime.empty() && table.releasesByTime.front().first < oldest) {
        table.released.erase(table.releasesByTime.front().second);
        table.releasesByTime.pop_front();
    }
}

void addClaim(claim_table &table, std::uint64_t offset, const claim_entry &entry)
{
    claim_record record;
    record.attempt = entry.attempt;
    record.host = entry.host;
    record.incarnation = entry.incarnation;
    record.digest = entry.digest;
    record.offset = offset;
    record.wall = entry.wall;
    table.claims.emplace(entry.key, std::move(record));
    table.claimsByTime.emplace_back(table.latestTime, std::pair(entry.key, entry.attempt));
}

bool applyClaim(claim_table &table, std::uint64_t offset, const claim_entry &entry)
{
    if (table.released.count(entry.attempt) > 0 || table.claims.count(entry.key) > 0)
        return false;
    addClaim(table, offset, entry);
    return true;
}

/// The claim of the entry's key if the entry's attempt holds it, or null.
claim_record *claimHeldBy(claim_table &table, const claim_entry &entry)
{
    const auto claim = table.claims.find(entry.key);
    const bool isHolder = claim != table.claims.end() && claim->second.attempt == entry.attempt;
    return isHolder ? &claim->second : nullptr;
}

bool applyResult(claim_table &table, const claim_entry &entry)
{
    claim_record *claim = claimHeldBy(table, entry);
    if (claim == nullptr || claim->phase == claim_phase::done)
        return false;
    claim->phase = claim_phase::done;
    claim->result = entry.result;
    return true;
}

bool applyUnknown(claim_table &table, const claim_entry &entry)
{
    claim_record *claim = claimHeldBy(table, entry);
    if (claim == nullptr || claim->phase != claim_phase::claimed)
        return false;
    claim->phase = claim_phase::unknown;
    return true;
}

/// A release may precede its claim in the log if the append of the claim was still in flight. The
/// attempt is then marked as released, so that the claim is ignored when it arrives.
bool applyRelease(claim_table &table, const claim_entry &entry)
{
    const claim_record *claim = claimHeldBy(table, entry);
    if (claim != nullptr && claim->phase != claim_phase::claimed)
        return false;
    if (!table.released.emplace(entry.attempt, entry.key).second)
        return false;
    table.releasesByTime.emplace_back(table.latestTime, entry.attempt);
    if (claim != nullptr)
        table.claims.erase(entry.key);
    return claim != nullptr;
}

bool applyEntry(claim_table &table, std::uint64_t offset, const claim_entry &entry)
{
    switch (entry.action) {
    case claim_action::claim:
        return applyClaim(table, offset, entry);
    case claim_action::result:
        return applyResult(table, entry);
    case claim_action::unknown:
        return applyUnknown(table, entry);
    case claim_action::release:
        return applyRelease(table, entry);
    }
    return false;
}

json::object dumpKey(const claim_key &key)
{
    return {{"organisation", key.organisation}, {"service", key.service}, {"key", key.key}};
}

claim_key restoreKey(const json::value &value)
{
    return {std::string(value.at("organisation").as_string()),
            std::string(value.at("service").as_string()), std::string(value.at("key").as_string())};
}

json::object dumpClaim(const claim_key &key, const claim_record &record)
{
    return {{"id", dumpKey(key)},
            {"attempt", record.attempt},
            {"host", record.host},
            {"incarnation", record.incarnation},
            {"digest", record.digest},
            {"offset", record.offset},
            {"wall_ms", record.wall},
            {"phase", int(record.phase)},
            {"result", encodeResult(record.result)}};
}

claim_record restoreClaim(const json::value &value)
{
    claim_record record;
    record.attempt = std::string(value.at("attempt").as_string());
    record.host = std::string(value.at("host").as_string());
    record.incarnation = value.at("incarnation").to_number<std::uint64_t>();
    record.digest = std::string(value.at("digest").as_string());
    record.offset = value.at("offset").to_number<std::uint64_t>();
    record.wall = value.at("wall_ms").to_number<wall_milliseconds>();
    record.phase = claim_phase(value.at("phase").to_number<int>());
    record.result = decodeResult(value.at("result").as_object());
    return record;
}

} // namespace

std::vector<claim_effect> applyClaimRecord(claim_table &table, std::uint64_t offset,
                                           std::string_view record)
{
    assert(offset == table.next);
    table.next = offset + 1;
    const auto entries = decodeBatch(record);
    if (!entries)
        return {};
    std::vector<claim_effect> effects;
    for (const claim_entry &entry : *entries) {
        table.latestTime = std::max(table.latestTime, entry.wall);
        const wall_milliseconds oldest = table.latestTime - claimRetention.count();
        expireClaims(table, oldest);
        expireReleases(table, oldest);
        const bool isApplied = applyEntry(table, offset, entry);
        effects.push_back(
            {entry.action, entry.key, entry.attempt, entry.host, entry.incarnation, isApplied});
    }
    return effects;
}

const claim_record *findClaim(const claim_table &table, const claim_key &key)
{
    const auto claim = table.claims.find(key);
    return claim == table.claims.end() ? nullptr : &claim->second;
}

std::string dumpClaimTable(const claim_table &table)
{
    json::array claims;
    for (const auto &[time, claim] : table.claimsByTime) {
        const claim_record *record = findClaim(table, claim.first);
        if (record == nullptr || record->attempt != claim.second)
            continue;
        json::object dumped = dumpClaim(claim.first, *record);
        dumped["time"] = time;
        claims.emplace_back(std::move(dumped));
    }
    json::array released;
    for (const auto &[time, attempt] : table.releasesByTime) {
        json::object dumped{{"time", time}, {"attempt", attempt}};
        dumped["id"] = dumpKey(table.released.at(attempt));
        released.emplace_back(std::move(dumped));
    }
    return json::serialize(json::object{{"next", table.next},
                                        {"time", table.latestTime},
                                        {"claims", std::move(claims)},
                                        {"released", std::move(released)}});
}

result<claim_table> restoreClaimTable(std::string_view text)
{
    claim_table table;
    try {
        const json::value parsed = json::parse(text);
        table.next = parsed.at("next").to_number<std::uint64_t>();
        table.latestTime = parsed.at("time").to_number<wall_milliseconds>();
        for (const json::value &entry : parsed.at("claims").as_array()) {
            const claim_key key = restoreKey(entry.at("id"));
            const claim_record record = restoreClaim(entry);
            const auto time = entry.at("time").to_number<wall_milliseconds>();
            table.claimsByTime.emplace_back(time, std::pair(key, record.attempt));
            table.claims.emplace(key, record);
        }
        for (const json::value &entry : parsed.at("released").as_array()) {
            const std::string attempt(entry.at("attempt").as_string());
            const auto time = entry.at("time").to_number<wall_milliseconds>();
            table.releasesByTime.emplace_back(time, attempt);
            table.released.emplace(attempt, restoreKey(entry.at("id")));
        }
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return table;
}

} // namespace quincefall
