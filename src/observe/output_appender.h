#pragma once

#include "kernel/clock.h"

#include <log4cxx/appender.h>
#include <log4cxx/layout.h>

#include <cstdint>

namespace quincefall {

/// Token bucket that limits the rate of log lines.
struct line_budget
{
    double linesPerSecond = 300;
    double burst = 3'000; ///< Maximum balance, in lines.
    double balance = 3'000; ///< Lines that may be written now.
    instant refilledAt = instant::min();
};

/// Withdraws one line from the budget; false when the budget is exhausted.
bool tryWithdrawLine(line_budget &budget, instant now);

/// Appender to standard output that never blocks: it drops a line when the reader of the output is
/// too slow or the line budget is exhausted. The next line that it writes is preceded by a line
/// with the number of dropped lines.
log4cxx::AppenderPtr makeOutputAppender(const log4cxx::LayoutPtr &layout);

} // namespace quincefall
