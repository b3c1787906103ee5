#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Names one call that may run at most once.
struct claim_key
{
    std::string organisation;
    std::string service;
    std::string key; ///< The caller's Idempotency-Key.

    auto operator<=>(const claim_key &) const = default;
};

/// "organisation/service/key", for people and for the time line.
std::string toString(const claim_key &key);

/// The answer of a call as it is kept for later askers.
struct claim_result
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool isBodyKept = true; ///< False when the body was too large for a record.
    std::string bodyDigest; ///< SHA-256 of the whole body when it is not kept.

    bool operator==(const claim_result &) const = default;
};

enum class claim_action {
    claim, ///< Wants the only right to send the call.
    result, ///< The call was answered.
    unknown, ///< The call was sent and no answer came.
    release, ///< The attempt has not sent the call and never will.
};

std::string_view toString(claim_action action);

/// One entry of a record of the stream `claims`.
struct claim_entry
{
    claim_action action = claim_action::claim;
    claim_key key;
    std::string attempt; ///< Unique id of one try to claim.
    std::string host; ///< Of the claimer.
    std::uint64_t incarnation = 0; ///< Of the claimer's process.
    std::string digest; ///< Of the request; set in claims.
    wall_milliseconds wall = 0; ///< Of the claimer when it made the entry.
    claim_result result; ///< Set in results.
};

/// Text of one record with all of @p entries.
std::string encodeBatch(std::span<const claim_entry> entries);

/// Reads the text of encodeBatch. Fails with messageInvalid.
result<std::vector<claim_entry>> decodeBatch(std::string_view text);

boost::json::object encodeResult(const claim_result &value);

/// Reads the object of encodeResult. Throws when a field is missing or has a wrong type.
claim_result decodeResult(const boost::json::object &object);

} // namespace quincefall
