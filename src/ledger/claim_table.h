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

/// How long a key is remembered after its claim. A key older than that runs as a new one.
inline constexpr milliseconds claimRetention{24LL * 60 * 60 * 1000};

enum class claim_phase {
    claimed, ///< The claimer may have sent the call.
    done, ///< The result is kept.
    unknown, ///< The claimer has sent the call and got no answer.
};

/// What the book knows of one key: the first claim that counts, and what became of it.
struct claim_record
{
    std::string attempt;
    std::string host;
    std::uint64_t incarnation = 0;
    std::string digest;
    std::uint64_t offset = 0; ///< Of the record with the claim.
    wall_milliseconds wall = 0; ///< Of the claimer, for display and for patience only.
    claim_phase phase = claim_phase::claimed;
    claim_result result;

    bool operator==(const claim_record &) const = default;
};

/// All claims after the records below `next`: a pure fold of the stream `claims` by offset.
struct claim_table
{
    std::uint64_t next = 0; ///< Offset of the first record that is not folded in.
    wall_milliseconds time = 0; ///< Highest wall clock in the records so far.
    std::map<claim_key, claim_record> claims;
    std::map<std::string, claim_key> released; ///< By attempt; claims of these never count.
    std::deque<std::pair<wall_milliseconds, std::string>> releaseTimes;
    std::deque<std::pair<wall_milliseconds, std::pair<claim_key, std::string>>> claimTimes;

    bool operator==(const claim_table &) const = default;
};

/// What one entry did to the book.
struct claim_effect
{
    claim_action action = claim_action::claim;
    claim_key key;
    std::string attempt;
    std::string host;
    std::uint64_t incarnation = 0;
    bool isApplied = false; ///< False for repeats, losers and entries of attempts that lost.
};

/// Folds in the record at @p offset, which must be book.next. Among claims of a key the first by
/// offset counts; a result or a release counts only from the attempt that holds the key. A record
/// that cannot be read has no effect.
std::vector<claim_effect> applyClaimRecord(claim_table &book, std::uint64_t offset,
                                           std::string_view record);

/// What is known of @p key, or null.
const claim_record *findClaim(const claim_table &book, const claim_key &key);

/// The whole book as text, from which restoreBook makes an equal one.
std::string dumpClaimTable(const claim_table &book);

/// Reads the text of dumpBook. Fails with messageInvalid.
result<claim_table> restoreClaimTable(std::string_view text);

} // namespace quincefall
