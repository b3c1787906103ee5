#pragma once

#include <tl/expected.hpp>

#include <span>
#include <string>
#include <string_view>

namespace quincefall {

/// Numeric outcome of an operation. The same table is in docs/ERRORS.md.
enum class result_code : int {
    ok = 0,

    settingsUnreadable = 101,
    settingsInvalid = 102,
    usage = 103,

    malformedRequest = 201,
    unauthenticated = 202,
    forbidden = 203,
    notFound = 204,
    requestTooLarge = 205,
    methodNotAllowed = 206,
    callerTimeout = 207,
    idempotencyKeyMissing = 208,
    idempotencyKeyReused = 209,
    headerTooLarge = 210,

    overloaded = 301,
    deadlineUnreachable = 302,
    organisationLimit = 303,
    hostStopping = 304,
    notReady = 305,
    connectionLimit = 306,
    memoryLimit = 307,

    noUpstream = 401,
    upstreamFailed = 402,
    upstreamTimeout = 403,
    streamIncomplete = 404,
    streamMismatch = 405,
    upstreamUnreachable = 406,
    promptHeldBack = 407,
    requestHeldBack = 408,
    streamOriginUnknown = 409,
    streamVersionGone = 410,
    streamServiceMoved = 411,

    logUnavailable = 501,
    logTruncated = 502,
    appendUnknown = 503,
    hostListUnavailable = 504,
    weightStoreLimited = 505,

    resourceInvalid = 601,
    versionConflict = 602,
    referenceMissing = 603,
    writeUnknown = 604,
    resourceNotFound = 605,

    peerUnreachable = 701,
    peerRejected = 702,
    peerTimeout = 703,
    messageInvalid = 704,

    callOutcomeUnknown = 801,
    callInProgress = 802,
    leaseNotHeld = 803,
    fencingStale = 804,
    enginesUnavailable = 805,
    dutyRateLimited = 806,

    cancelled = 901,
    internal = 902,
};

/// What is known about the execution of a request that did not get a complete answer.
enum class run_state {
    notRun, ///< The request was definitely not executed.
    unknown, ///< It may have been executed.
    partial, ///< It was executed and part of its answer was delivered.
};

/// One row of the result code table.
struct result_info
{
    result_code code;
    std::string_view name;
    int httpStatus;
    std::string_view summary;
};

/// All result codes in ascending order.
std::span<const result_info> resultTable();

/// The row of @p code; codes outside the table map to `internal`.
const result_info &resultInfo(result_code code);

/// Wire spelling of @p state: "not-run", "unknown" or "partial".
std::string_view toString(run_state state);

/// A failed operation: result code and human-readable detail.
struct error
{
    result_code code = result_code::internal;
    std::string detail;
};

template <typename value_type>
using result = tl::expected<value_type, error>;

/// Makes the error value of a `result`.
inline tl::unexpected<error> makeError(result_code code, std::string detail)
{
    return tl::unexpected<error>(error{code, std::move(detail)});
}

} // namespace quincefall
