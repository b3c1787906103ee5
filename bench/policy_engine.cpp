#include "policy_engine.h"

#include <algorithm>

namespace quincefall::bench {
namespace {

constexpr std::size_t cachedPrefixLimit = 48;
constexpr double cachedPrefillShare = 0.2;

double ratePerStream(const engine_model &engine)
{
    const double streams = static_cast<double>(engine.running.size()) + engine.background;
    return engine.speedFactor
        * std::min(engine.streamTokensPerSecond,
                   engine.totalTokensPerSecond / std::max(1.0, streams));
}

void updateProgress(event_queue &events, engine_model &engine)
{
    const double elapsed = toMilliseconds(events.now - engine.updated) / 1000;
    engine.progress += elapsed * ratePerStream(engine);
    engine.updated = events.now;
}

double firstTokenProgress(const engine_stream &stream)
{
    return stream.startProgress + stream.prefill + 1;
}

double endProgress(const engine_stream &stream)
{
    return stream.startProgress + stream.prefill + stream.tokens;
}

void run(engine_model &engine, engine_stream stream)
{
    stream.startProgress = engine.progress;
    auto &cached = engine.cachedPrefixes;
    const auto hit = std::find(cached.begin(), cached.end(), stream.prefix);
    if (hit != cached.end()) {
        stream.prefill *= cachedPrefillShare;
        ++engine.cacheHits;
        cached.erase(hit);
    } else {
        ++engine.cacheMisses;
        engine.cacheEvents.emplace_back(stream.prefix, true);
    }
    cached.push_back(stream.prefix);
    if (cached.size() > cachedPrefixLimit) {
        engine.cacheEvents.emplace_back(cached.front(), false);
        cached.pop_front();
    }
    engine.milestones.emplace(firstTokenProgress(stream), stream.attempt, false);
    engine.milestones.emplace(endProgress(stream), stream.attempt, true);
    const std::uint64_t attempt = stream.attempt;
    engine.running.emplace(attempt, std::move(stream));
}

void fillSlots(engine_model &engine)
{
    while (!engine.waiting.empty() && engine.running.size() + engine.background < engine.slots) {
        const auto next = std::min_element(
            engine.waiting.begin(), engine.waiting.end(),
            [](const engine_stream &a, const engine_stream &b) { return a.tier < b.tier; });
        engine_stream stream = std::move(*next);
        engine.waiting.erase(next);
        run(engine, std::move(stream));
    }
}

void schedule(event_queue &events, engine_model &engine);

void reachMilestones(event_queue &events, engine_model &engine)
{
    constexpr double tolerance = 1e-3;
    std::vector<std::function<void()>> reached;
    updateProgress(events, engine);
    while (!engine.milestones.empty()) {
        const auto [progress, attempt, isEnd] = *engine.milestones.begin();
        if (progress > engine.progress + tolerance)
            break;
        engine.milestones.erase(engine.milestones.begin());
        const auto stream = engine.running.find(attempt);
        reached.push_back(isEnd ? stream->second.done : stream->second.firstToken);
        if (isEnd)
            engine.running.erase(stream);
    }
    fillSlots(engine);
    schedule(events, engine);
    for (const auto &action : reached)
        action();
}

void schedule(event_queue &events, engine_model &engine)
{
    const std::uint64_t generation = ++engine.generation;
    if (engine.milestones.empty())
        return;
    const double missing = std::get<0>(*engine.milestones.begin()) - engine.progress;
    const double delay = std::max(0.0, missing) / ratePerStream(engine);
    events.after(microseconds(static_cast<std::int64_t>(delay * 1e6) + 1),
                 [&events, &engine, generation] {
                     if (engine.generation == generation)
                         reachMilestones(events, engine);
                 });
}

} // namespace

void event_queue::at(instant time, std::function<void()> action)
{
    m_events.push({std::max(time, now), m_sequence++, std::move(action)});
}

void event_queue::after(microseconds delay, std::function<void()> action)
{
    at(now + delay, std::move(action));
}

void event_queue::runUntil(instant end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const event next = m_events.top();
        m_events.pop();
        now = next.time;
        next.action();
    }
    now = end;
}

void startStream(event_queue &events, engine_model &engine, engine_stream stream)
{
    updateProgress(events, engine);
    engine.waiting.push_back(std::move(stream));
    fillSlots(engine);
    schedule(events, engine);
}

double generatedTokens(event_queue &events, engine_model &engine, std::uint64_t attempt)
{
    updateProgress(events, engine);
    const auto found = engine.running.find(attempt);
    if (found == engine.running.end())
        return 0;
    const engine_stream &stream = found->second;
    return std::clamp(engine.progress - stream.startProgress - stream.prefill, 0.0, stream.tokens);
}

double stopStream(event_queue &events, engine_model &engine, std::uint64_t attempt)
{
    const double generated = generatedTokens(events, engine, attempt);
    std::erase_if(engine.waiting,
                  [attempt](const engine_stream &stream) { return stream.attempt == attempt; });
    const auto found = engine.running.find(attempt);
    if (found == engine.running.end())
        return generated;
    engine.milestones.erase({firstTokenProgress(found->second), attempt, false});
    engine.milestones.erase({endProgress(found->second), attempt, true});
    engine.running.erase(found);
    fillSlots(engine);
    schedule(events, engine);
    return generated;
}

void setSpeed(event_queue &events, engine_model &engine, double speedFactor)
{
    updateProgress(events, engine);
    engine.speedFactor = speedFactor;
    schedule(events, engine);
}

} // namespace quincefall::bench
