#pragma once

#include "route/duty_calls.h"
#include "route/duty_holder.h"

namespace quincefall {

/// Calls for which fencingStale may also mean that engines are not to be had, made to tell the two
/// apart: an order that is refused although @p holder, which must outlive the calls, has held the
/// duties without a gap fails with enginesUnavailable. Orders for one kind of engine in one failure
/// domain must follow one another.
duty_calls tellRefusalsApart(duty_calls calls, duty_holder &holder);

} // namespace quincefall
