#pragma once

#include "ledger/claim_entry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincefall {

/// How long a key is kept after its claim, by the wall-clock times in the records. A request with
/// an expired key runs as a new one.
inline constexpr milliseconds claimRetention{24LL * 60 * 60 * 1000};

enum class claim_phase {
    claimed, ///< The holder may have sent the call.
    done, ///< The call was answered; the result is recorded.
    unknown, ///< The holder sent the call and got no answer.
};

/// The claim that holds a key, and its outcome.
struct claim_record
{
    std::string attempt;
    std::string host;
    std::uint64_t incarnation = 0;
    std::string digest;
    std::uint64_t offset = 0; ///< Of the log record with the claim.
    wall_milliseconds wall = 0; ///< The holder's clock; for display and wait limits only.
    claim_phase phase = claim_phase::claimed;
    claim_result result;

    bool operator==(const claim_record &) const = default;
};

/// The claims after all records below `next`. Depends only on the records of the stream `claims`,
/// applied in offset order, so that all hosts compute the same table.
struct claim_table
{
    std::uint64_t next = 0; ///< Offset of the next record to apply.
    wall_milliseconds latestTime = 0; ///< Highest wall-clock time in the records so far.
    std::map<claim_key, claim_record> claims;
    std::map<std::string, claim_key> released; ///< By attempt; later claims of these are ignored.
    std::deque<std::pair<wall_milliseconds, std::string>> releasesByTime;
    std::deque<std::pair<wall_milliseconds, std::pair<claim_key, std::string>>> claimsByTime;

    bool operator==(const claim_table &) const = default;
};

/// The effect of one entry on the table.
struct claim_effect
{
    claim_action action = claim_action::claim;
    claim_key key;
    std::string attempt;
    std::string host;
    std::uint64_t incarnation = 0;
    bool isApplied = false; ///< False if the entry did not change a claim.
};

/// Applies the record at @p offset, which must be table.next. The first claim of a key by offset
/// holds the key; outcomes and releases are applied only from the attempt that holds it, except
/// that a release before its own claim cancels that claim. An undecodable record has no effect.
std::vector<claim_effect> applyClaimRecord(claim_table &table, std::uint64_t offset,
                                           std::string_view record);

/// The claim that holds @p key, or null.
const claim_record *findClaim(const claim_table &table, const claim_key &key);

/// Serialises the table; restoreClaimTable reads it back into an equal one.
std::string dumpClaimTable(const claim_table &table);

/// Parses the output of dumpClaimTable. Fails with messageInvalid.
result<claim_table> restoreClaimTable(std::string_view text);

} // namespace quincefall
