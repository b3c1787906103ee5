#pragma once

#include "kernel/clock.h"

#include <cstddef>

namespace quincefall {

/// Large answers of one host on its network link.
///
/// Answers the load of many hosts that ask for one large state at the same moment: sent all at once
/// over a slow link, each would take as long as all of them together, and callers' requests would
/// wait behind them.
struct bulk_pace
{
    double bytesPerSecond = 0; ///< Of the link.
    instant sentBy = instant::min(); ///< When the answers that were started will have been sent.
};

/// Starts an answer of @p bytes if the link will then be busy only for a moment, or if nothing else
/// is being sent. Returns whether it may be sent.
bool startBulk(bulk_pace &pace, std::size_t bytes, instant now);

/// Whether no answer could be started now.
bool isBusy(const bulk_pace &pace, instant now);

/// Takes back an answer of @p bytes that was not sent to its end.
void cancelBulk(bulk_pace &pace, std::size_t bytes, instant now);

} // namespace quincefall
