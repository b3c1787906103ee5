#pragma once

#include "kernel/clock.h"
#include "standin/wake_signal.h"

#include <cstdint>
#include <deque>

namespace quincefall::standin {

/// Occupation of an engine at one moment.
struct load_sample
{
    time_point taken;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t generatedTokens = 0; ///< Since the start.
};

/// Load of an engine as its report shows it: late by a lag.
class load_history
{
public:
    void record(const load_sample &sample);

    /// The newest sample at least @p lag old, or the oldest one.
    load_sample visible(time_point now, milliseconds lag) const;

    /// Tokens per second over the last second before @p until.
    double tokensPerSecond(time_point until) const;

private:
    std::deque<load_sample> m_samples;
};

} // namespace quincefall::standin
