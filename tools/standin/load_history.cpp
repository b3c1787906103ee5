#include "standin/load_history.h"

#include <algorithm>

namespace quincefall::standin {
namespace {

constexpr std::size_t maxSamples = 50'000;
constexpr std::chrono::milliseconds minSampleInterval(1);

} // namespace

void load_history::record(const load_sample &sample)
{
    // Merges samples taken within one millisecond, which limits the growth of the history at high
    // rates.
    if (!m_samples.empty() && sample.takenAt - m_samples.back().takenAt < minSampleInterval) {
        const time_point takenAt = m_samples.back().takenAt;
        m_samples.back() = sample;
        m_samples.back().takenAt = takenAt;
        return;
    }
    m_samples.push_back(sample);
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

load_sample load_history::sampleBefore(time_point now, milliseconds lag) const
{
    if (m_samples.empty())
        return {now, 0, 0, 0};
    const time_point limit = now - lag;
    auto after = std::upper_bound(
        m_samples.begin(), m_samples.end(), limit,
        [](time_point moment, const load_sample &sample) { return moment < sample.takenAt; });
    return after == m_samples.begin() ? m_samples.front() : *std::prev(after);
}

double load_history::tokensPerSecond(time_point until) const
{
    const load_sample last = sampleBefore(until, milliseconds(0));
    const load_sample first = sampleBefore(until, seconds(1));
    return double(last.generatedTokens - first.generatedTokens);
}

} // namespace quincefall::standin
