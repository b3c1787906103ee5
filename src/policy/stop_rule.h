#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// A request that a stopping host has just read.
struct late_request
{
    bool isRepeatable = false; ///< It may run again after the host has broken it off.
    microseconds limit{0}; ///< For which it may keep the host busy.
    microseconds target{0}; ///< Within which its answer is on time.
};

/// Whether a host that ends in @p timeLeft takes the request. One that may run at most once is
/// taken only if it ends before the host under all circumstances; one that may be repeated, if the
/// host has time for an answer that is on time.
bool takesLateRequest(const late_request &request, microseconds timeLeft);

} // namespace quincefall
