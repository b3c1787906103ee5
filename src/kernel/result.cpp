#include "kernel/result.h"

#include <algorithm>
#include <array>

namespace quincefall {
namespace {

constexpr std::array table{
    result_info{result_code::ok, "ok", 200, "The operation succeeded."},
    result_info{result_code::settingsUnreadable, "settings-unreadable", 500,
                "The settings file cannot be read or is not YAML."},
    result_info{result_code::settingsInvalid, "settings-invalid", 500,
                "The settings file does not match the schema."},
    result_info{result_code::usage, "usage", 400, "The command line is not understood."},
    result_info{result_code::malformedRequest, "malformed-request", 400,
                "The request is not valid HTTP, JSON or lacks a required field."},
    result_info{result_code::unauthenticated, "unauthenticated", 401,
                "The bearer key is missing or unknown."},
    result_info{result_code::forbidden, "forbidden", 403,
                "The organisation may not use this class, resource or path."},
    result_info{result_code::notFound, "not-found", 404,
                "The path, model or service does not exist."},
    result_info{result_code::requestTooLarge, "request-too-large", 413,
                "The header or body exceeds its limit."},
    result_info{result_code::methodNotAllowed, "method-not-allowed", 405,
                "The path does not accept this method."},
    result_info{result_code::callerTimeout, "caller-timeout", 408,
                "The caller sent its request too slowly."},
    result_info{result_code::idempotencyKeyMissing, "idempotency-key-missing", 400,
                "The service's calls may not be repeated and need an Idempotency-Key."},
    result_info{result_code::idempotencyKeyReused, "idempotency-key-reused", 422,
                "The Idempotency-Key or X-Request-Id is in use for a different request."},
    result_info{result_code::headerTooLarge, "header-too-large", 431,
                "The header exceeds its limit, on hosts of `quincefall route`."},
    result_info{result_code::overloaded, "overloaded", 503,
                "The queue cannot serve the request in time; come back after Retry-After."},
    result_info{result_code::deadlineUnreachable, "deadline-unreachable", 503,
                "The request waited as long as its class allows."},
    result_info{result_code::organisationLimit, "organisation-limit", 429,
                "The organisation has used its share; come back after Retry-After."},
    result_info{result_code::hostStopping, "host-stopping", 503,
                "The host is shutting down and takes no new request."},
    result_info{result_code::notReady, "not-ready", 503,
                "No configuration is in force on this host yet."},
    result_info{result_code::connectionLimit, "connection-limit", 503,
                "The host has reached its limit of open connections."},
    result_info{result_code::memoryLimit, "memory-limit", 503,
                "The host holds as many bytes as it may; come back after Retry-After."},
    result_info{result_code::noUpstream, "no-upstream", 503,
                "No live upstream can serve the request."},
    result_info{result_code::upstreamFailed, "upstream-failed", 502,
                "The upstream failed or broke the connection."},
    result_info{result_code::upstreamTimeout, "upstream-timeout", 504,
                "The upstream gave no answer in time."},
    result_info{result_code::streamIncomplete, "stream-incomplete", 502,
                "The answer ended before its end mark and could not be resumed."},
    result_info{result_code::streamMismatch, "stream-mismatch", 502,
                "The upstream answered with another request's stream."},
    result_info{result_code::upstreamUnreachable, "upstream-unreachable", 502,
                "No connection to the upstream could be opened; nothing was sent."},
    result_info{result_code::promptHeldBack, "prompt-held-back", 503,
                "Upstreams crashed under prompts that share a part with this one."},
    result_info{result_code::requestHeldBack, "request-held-back", 503,
                "Upstreams crashed under this request."},
    result_info{result_code::streamOriginUnknown, "stream-origin-unknown", 503,
                "No host knows which service and software version began the stream."},
    result_info{result_code::streamVersionGone, "stream-version-gone", 503,
                "No upstream of the software version that began the stream is usable."},
    result_info{result_code::streamServiceMoved, "stream-service-moved", 503,
                "The stream's route no longer leads to the service that began it."},
    result_info{result_code::logUnavailable, "log-unavailable", 503,
                "The platform's log cannot be reached."},
    result_info{result_code::logTruncated, "log-truncated", 503,
                "The log no longer keeps the records needed; a peer's state is required."},
    result_info{result_code::appendUnknown, "append-unknown", 503,
                "The log's answer was lost; the record may have been written."},
    result_info{result_code::hostListUnavailable, "host-list-unavailable", 503,
                "The platform's host list cannot be read."},
    result_info{result_code::weightStoreLimited, "weight-store-limited", 503,
                "The weight store's rate is used up."},
    result_info{result_code::resourceInvalid, "resource-invalid", 422,
                "A field of the resource is missing, unknown or out of range."},
    result_info{result_code::versionConflict, "version-conflict", 409,
                "Another change to the resource came first."},
    result_info{result_code::referenceMissing, "reference-missing", 422,
                "The resource names another resource that does not exist, or is still named."},
    result_info{result_code::writeUnknown, "write-unknown", 503,
                "The change may have been written; ask again by its operation id."},
    result_info{result_code::resourceNotFound, "resource-not-found", 404,
                "The resource does not exist."},
    result_info{result_code::peerUnreachable, "peer-unreachable", 503,
                "Another host of the fleet cannot be reached."},
    result_info{result_code::peerRejected, "peer-rejected", 502,
                "Another host of the fleet refused the message."},
    result_info{result_code::peerTimeout, "peer-timeout", 504,
                "Another host of the fleet gave no answer in time."},
    result_info{result_code::messageInvalid, "message-invalid", 400,
                "A message from another process cannot be decoded."},
    result_info{result_code::callOutcomeUnknown, "call-outcome-unknown", 409,
                "The call was started and its outcome is not known; it will not run again."},
    result_info{result_code::callInProgress, "call-in-progress", 409,
                "The same call is running; ask again after Retry-After."},
    result_info{result_code::leaseNotHeld, "lease-not-held", 409,
                "This host does not hold the lease that the action needs."},
    result_info{result_code::fencingStale, "fencing-stale", 409,
                "The upstream has seen a higher fencing number."},
    result_info{result_code::enginesUnavailable, "engines-unavailable", 409,
                "The platform has no engines of the ordered kind at the moment."},
    result_info{result_code::dutyRateLimited, "duty-rate-limited", 429,
                "All hosts together call the platform too often."},
    result_info{result_code::cancelled, "cancelled", 499, "The caller went away."},
    result_info{result_code::internal, "internal", 500, "A fault inside quincefall."},
};

} // namespace

std::span<const result_info> resultTable()
{
    return table;
}

const result_info &resultInfo(result_code code)
{
    const auto row = std::find_if(table.begin(), table.end(),
                                  [code](const result_info &info) { return info.code == code; });
    return row == table.end() ? table.back() : *row;
}

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::notRun:
        return "not-run";
    case run_state::unknown:
        return "unknown";
    case run_state::partial:
        return "partial";
    }
    return "unknown";
}

} // namespace quincefall
