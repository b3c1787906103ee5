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

/// Identifies a call that must run at most once.
struct claim_key
{
    std::string organisation;
    std::string service;
    std::string key; ///< The caller's Idempotency-Key.

    auto operator<=>(const claim_key &) const = default;
};

/// "organisation/service/key", for messages and the time line.
std::string toString(const claim_key &key);

/// The answer of a call, recorded to answer later requests with the same key.
struct claim_result
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool isBodyKept = true; ///< False when the body was too large to be recorded.
    std::string bodyDigest; ///< SHA-256 of the full body, set when it is not kept.

    bool operator==(const claim_result &) const = default;
};

enum class claim_action {
    claim, ///< Requests the exclusive right to send the call.
    result, ///< The call was answered.
    unknown, ///< The call was sent but not answered.
    release, ///< The attempt has not sent the call and will not send it.
};

std::string_view toString(claim_action action);

/// One entry of a record of the stream `claims`.
struct claim_entry
{
    claim_action action = claim_action::claim;
    claim_key key;
    std::string attempt; ///< Unique id of the attempt to claim the key.
    std::string host; ///< The host that wrote the entry.
    std::uint64_t incarnation = 0; ///< Of the process that wrote the entry.
    std::string digest; ///< Of the request's content; set in claims.
    wall_milliseconds wall = 0; ///< Wall clock of the writer when it made the entry.
    claim_result result; ///< Set if the action is `result`.
};

/// Encodes @p entries as one record.
std::string encodeBatch(std::span<const claim_entry> entries);

/// Decodes a record of encodeBatch. Fails with messageInvalid.
result<std::vector<claim_entry>> decodeBatch(std::string_view text);

boost::json::object encodeResult(const claim_result &value);

/// Decodes an object of encodeResult. Throws if a field is missing or has the wrong type.
claim_result decodeResult(const boost::json::object &object);

} // namespace quincefall
