#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <optional>
#include <string>

namespace quincefall {

/// A final answer that is an error: its code, what is known about the run, when to come back.
struct problem
{
    result_code code = result_code::internal;
    std::string detail;
    run_state run = run_state::notRun;
    std::optional<milliseconds> retryAfter;
};

/// Body of media type application/problem+json (RFC 9457) with the members `code` and `run` added.
std::string encodeProblem(const problem &value, std::string_view requestId = {});

/// Value of the Retry-After header: whole seconds, rounded up, at least 1.
std::string retryAfterSeconds(milliseconds wait);

} // namespace quincefall
