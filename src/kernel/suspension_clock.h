#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Clocks of the operating system, of which now() also advances while the machine is suspended. Its
/// instants are not comparable with those of makeSystemClock().
clock_source makeSuspensionClock();

} // namespace quincefall
