#pragma once

#include "kernel/clock.h"
#include "standin/wake_signal.h"

#include <cstdint>
#include <deque>

namespace quincefall::standin {

/// Load of an engine at one point in time.
struct load_sample
{
    time_point takenAt;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t generatedTokens = 0; ///< Since the stand-in started.
};

/// Recent load samples of an engine, from which it reports its load with a configurable lag.
class load_history
{
public:
    void record(const load_sample &sample);

    /// The newest sample that is at least @p lag old; the oldest one if all are newer.
    load_sample sampleBefore(time_point now, milliseconds lag) const;

    /// Tokens generated in the second before @p until.
    double tokensPerSecond(time_point until) const;

private:
    std::deque<load_sample> m_samples;
};

} // namespace quincefall::standin
