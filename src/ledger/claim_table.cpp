#include "ledger/claim_table.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cassert>

namespace quincefall {
namespace {

namespace json = boost::json;

void forgetOldClaims(claim_table &book, wall_milliseconds oldest)
{
    while (!book.claimTimes.empty() && book.claimTimes.front().first < oldest) {
        const auto &[key, attempt] = book.claimTimes.front().second;
        const auto claim = book.claims.find(key);
        if (claim != book.claims.end() && claim->second.attempt == attempt)
            book.claims.erase(claim);
        book.claimTimes.pop_front();
    }
}

void forgetOldReleases(claim_table &book, wall_milliseconds oldest)
{
    while (!book.releaseTimes.empty() && book.releaseTimes.front().first < oldest) {
        book.released.erase(book.releaseTimes.front().second);
        book.releaseTimes.pop_front();
    }
}

void addClaim(claim_table &book, std::uint64_t offset, const claim_entry &entry)
{
    claim_record record;
    record.attempt = entry.attempt;
    record.host = entry.host;
    record.incarnation = entry.incarnation;
    record.digest = entry.digest;
    record.offset = offset;
    record.wall = entry.wall;
    book.claims.emplace(entry.key, std::move(record));
    book.claimTimes.emplace_back(book.time, std::pair(entry.key, entry.attempt));
}

bool foldClaim(claim_table &book, std::uint64_t offset, const claim_entry &entry)
{
    if (book.released.count(entry.attempt) > 0 || book.claims.count(entry.key) > 0)
        return false;
    addClaim(book, offset, entry);
    return true;
}

/// The claim that an outcome of @p entry's attempt may settle, or null.
claim_record *openClaim(claim_table &book, const claim_entry &entry)
{
    const auto claim = book.claims.find(entry.key);
    const bool isHolder = claim != book.claims.end() && claim->second.attempt == entry.attempt;
    return isHolder ? &claim->second : nullptr;
}

bool foldResult(claim_table &book, const claim_entry &entry)
{
    claim_record *claim = openClaim(book, entry);
    if (claim == nullptr || claim->phase == claim_phase::done)
        return false;
    claim->phase = claim_phase::done;
    claim->result = entry.result;
    return true;
}

bool foldUnknown(claim_table &book, const claim_entry &entry)
{
    claim_record *claim = openClaim(book, entry);
    if (claim == nullptr || claim->phase != claim_phase::claimed)
        return false;
    claim->phase = claim_phase::unknown;
    return true;
}

/// A release may arrive before the claim that it takes back, whose append was on its way.
bool foldRelease(claim_table &book, const claim_entry &entry)
{
    const claim_record *claim = openClaim(book, entry);
    if (claim != nullptr && claim->phase != claim_phase::claimed)
        return false;
    if (!book.released.emplace(entry.attempt, entry.key).second)
        return false;
    book.releaseTimes.emplace_back(book.time, entry.attempt);
    if (claim != nullptr)
        book.claims.erase(entry.key);
    return claim != nullptr;
}

bool foldEntry(claim_table &book, std::uint64_t offset, const claim_entry &entry)
{
    switch (entry.action) {
    case claim_action::claim:
        return foldClaim(book, offset, entry);
    case claim_action::result:
        return foldResult(book, entry);
    case claim_action::unknown:
        return foldUnknown(book, entry);
    case claim_action::release:
        return foldRelease(book, entry);
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

std::vector<claim_effect> applyClaimRecord(claim_table &book, std::uint64_t offset,
                                           std::string_view record)
{
    assert(offset == book.next);
    book.next = offset + 1;
    const auto entries = decodeBatch(record);
    if (!entries)
        return {};
    std::vector<claim_effect> effects;
    for (const claim_entry &entry : *entries) {
        book.time = std::max(book.time, entry.wall);
        const wall_milliseconds oldest = book.time - claimRetention.count();
        forgetOldClaims(book, oldest);
        forgetOldReleases(book, oldest);
        const bool isApplied = foldEntry(book, offset, entry);
        effects.push_back(
            {entry.action, entry.key, entry.attempt, entry.host, entry.incarnation, isApplied});
    }
    return effects;
}

const claim_record *findClaim(const claim_table &book, const claim_key &key)
{
    const auto claim = book.claims.find(key);
    return claim == book.claims.end() ? nullptr : &claim->second;
}

std::string dumpClaimTable(const claim_table &book)
{
    json::array claims;
    for (const auto &[time, claim] : book.claimTimes) {
        const claim_record *record = findClaim(book, claim.first);
        if (record == nullptr || record->attempt != claim.second)
            continue;
        json::object dumped = dumpClaim(claim.first, *record);
        dumped["time"] = time;
        claims.emplace_back(std::move(dumped));
    }
    json::array released;
    for (const auto &[time, attempt] : book.releaseTimes) {
        json::object dumped{{"time", time}, {"attempt", attempt}};
        dumped["id"] = dumpKey(book.released.at(attempt));
        released.emplace_back(std::move(dumped));
    }
    return json::serialize(json::object{{"next", book.next},
                                        {"time", book.time},
                                        {"claims", std::move(claims)},
                                        {"released", std::move(released)}});
}

result<claim_table> restoreClaimTable(std::string_view text)
{
    claim_table book;
    try {
        const json::value parsed = json::parse(text);
        book.next = parsed.at("next").to_number<std::uint64_t>();
        book.time = parsed.at("time").to_number<wall_milliseconds>();
        for (const json::value &entry : parsed.at("claims").as_array()) {
            const claim_key key = restoreKey(entry.at("id"));
            const claim_record record = restoreClaim(entry);
            const auto time = entry.at("time").to_number<wall_milliseconds>();
            book.claimTimes.emplace_back(time, std::pair(key, record.attempt));
            book.claims.emplace(key, record);
        }
        for (const json::value &entry : parsed.at("released").as_array()) {
            const std::string attempt(entry.at("attempt").as_string());
            const auto time = entry.at("time").to_number<wall_milliseconds>();
            book.releaseTimes.emplace_back(time, attempt);
            book.released.emplace(attempt, restoreKey(entry.at("id")));
        }
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return book;
}

} // namespace quincefall
