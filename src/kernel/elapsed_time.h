#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Time from @p since to @p now; 0 if that is negative. Limited, so that it can be converted to
/// microseconds whatever was read from elsewhere.
milliseconds elapsed(wall_milliseconds since, wall_milliseconds now);

} // namespace quincefall
