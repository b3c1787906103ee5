#include "standin/load_history.h"

#include <algorithm>

namespace quincefall::standin {
namespace {

constexpr std::size_t maxSamples = 50'000;
constexpr std::chrono::milliseconds resolution(1);

} // namespace

void load_history::record(const load_sample &sample)
{
    // Samples of one millisecond share an entry, which bounds the history at high rates.
    if (!m_samples.empty() && sample.taken - m_samples.back().taken < resolution) {
        const time_point taken = m_samples.back().taken;
        m_samples.back() = sample;
        m_samples.back().taken = taken;
        return;
    }
    m_samples.push_back(sample);
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

load_sample load_history::visible(time_point now, milliseconds lag) const
{
    if (m_samples.empty())
        return {now, 0, 0, 0};
    const time_point limit = now - lag;
    auto after = std::upper_bound(
        m_samples.begin(), m_samples.end(), limit,
        [](time_point moment, const load_sample &sample) { return moment < sample.taken; });
    return after == m_samples.begin() ? m_samples.front() : *std::prev(after);
}

double load_history::tokensPerSecond(time_point until) const
{
    const load_sample last = visible(until, milliseconds(0));
    const load_sample first = visible(until, seconds(1));
    return double(last.generatedTokens - first.generatedTokens);
}

} // namespace quincefall::standin
