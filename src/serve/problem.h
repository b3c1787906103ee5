#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <optional>
#include <string>

namespace quincefall {

/// A final error response: its code, whether the request ran, and when the caller may retry.
struct problem
{
    result_code code = result_code::internal;
    std::string detail;
    run_state run = run_state::notRun;
    std::optional<milliseconds> retryAfter;
};

/// Encodes @p value as application/problem+json (RFC 9457) with the extension members `code`, `run`
/// and, when known, `request_id` and `retry_after_ms`.
std::string encodeProblem(const problem &value, std::string_view requestId = {});

/// Value of the Retry-After header: whole seconds, rounded up, at least 1.
std::string retryAfterSeconds(milliseconds wait);

} // namespace quincefall
