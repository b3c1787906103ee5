#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace quincefall::bench {

/// Events in virtual time; equal times run in the order they were added.
class event_queue
{
public:
    instant now{};

    void at(instant time, std::function<void()> action);
    void after(microseconds delay, std::function<void()> action);
    void runUntil(instant end);

private:
    struct event
    {
        instant time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };

    std::priority_queue<event> m_events;
    std::uint64_t m_sequence = 0;
};

/// One request on an engine.
struct engine_stream
{
    std::uint64_t attempt = 0;
    int tier = 1;
    double prefill = 0; ///< In units of one output token.
    double tokens = 0; ///< Output still to make.
    std::uint64_t prefix = 0;
    double startProgress = 0; ///< The engine's progress when it began to run.
    std::function<void()> firstToken;
    std::function<void()> done;
};

/// A model engine with continuous batching: all running streams share a token budget; what
/// exceeds the slots waits in the engine by tier.
struct engine_model
{
    std::string name;
    std::string region;
    std::uint32_t slots = 16;
    double streamTokensPerSecond
        = 50; ///< Output tokens per second of a stream while the budget suffices.
    double totalTokensPerSecond = 800; ///< Tokens per second of all streams.
    double speedFactor = 1;
    bool up = true;
    std::uint32_t background = 0; ///< Streams of others that never end.
    std::map<std::uint64_t, engine_stream> running; ///< By attempt.
    std::deque<engine_stream> waiting;
    std::deque<std::uint64_t> cachedPrefixes;
    std::vector<std::pair<std::uint64_t, bool>> cacheEvents; ///< Prefix, and whether stored.
    std::uint64_t cacheHits = 0;
    std::uint64_t cacheMisses = 0;

    double progress = 0; ///< Tokens made so far by a stream that ran all the time.
    instant updated{};
    std::set<std::tuple<double, std::uint64_t, bool>> milestones; ///< First tokens and ends.
    std::uint64_t generation = 0;
};

/// Accepts a stream; a cached prefix shortens its prefill.
void startStream(event_queue &events, engine_model &engine, engine_stream stream);

/// Stops a stream; returns the output tokens it had made.
double stopStream(event_queue &events, engine_model &engine, std::uint64_t attempt);

/// Output tokens that the stream has made so far.
double generatedTokens(event_queue &events, engine_model &engine, std::uint64_t attempt);

/// Changes the engine's speed from now on.
void setSpeed(event_queue &events, engine_model &engine, double speedFactor);

} // namespace quincefall::bench
