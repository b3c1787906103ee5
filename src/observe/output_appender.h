#pragma once

#include "kernel/clock.h"

#include <log4cxx/appender.h>
#include <log4cxx/layout.h>

#include <cstdint>

namespace quincefall {

/// How many lines may be written.
struct line_budget
{
    double perSecond = 300;
    double burst = 3'000; ///< Lines saved up in quiet times.
    double balance = 3'000;
    instant refilled = instant::min();
};

/// Takes one line out of the budget; false when it is used up.
bool takeLine(line_budget &budget, instant now);

/// Appender to standard output that drops lines instead of waiting for a slow reader or exceeding
/// its budget. The next line that is written is preceded by one that tells how many were dropped.
log4cxx::AppenderPtr makeOutputAppender(const log4cxx::LayoutPtr &layout);

} // namespace quincefall
