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

/// Event queue in virtual time; events due at the same time run in the order they were added.
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
    double prefill = 0; ///< Prefill cost in units of one output token.
    double tokens = 0; ///< Output tokens still to generate.
    std::uint64_t prefix = 0;
    double startProgress = 0; ///< The engine's `progress` when the stream began to run.
    std::function<void()> firstToken;
    std::function<void()> done;
};

/// Model of an engine with continuous batching. All running streams share one token rate; streams
/// beyond the slots wait in the engine, the most urgent tier first.
struct engine_model
{
    std::string name;
    std::string region;
    std::uint32_t slots = 16;
    double streamTokensPerSecond = 50; ///< Output rate limit of one stream.
    double totalTokensPerSecond = 800; ///< Shared by all running streams.
    double speedFactor = 1;
    bool up = true;
    std::uint32_t background = 0; ///< Slots held all the time by load from elsewhere.
    std::map<std::uint64_t, engine_stream> running; ///< By attempt.
    std::deque<engine_stream> waiting;
    std::deque<std::uint64_t> cachedPrefixes;
    /// Prefix, and whether it was stored (true) or evicted (false).
    std::vector<std::pair<std::uint64_t, bool>> cacheEvents;
    std::uint64_t cacheHits = 0;
    std::uint64_t cacheMisses = 0;

    double progress = 0; ///< Tokens that a stream running from the beginning would have generated.
    instant updated{};
    /// Progress at which a stream has its first token (false) or ends (true), with its attempt.
    std::set<std::tuple<double, std::uint64_t, bool>> milestones;
    std::uint64_t generation = 0;
};

/// Queues a stream on the engine; a cached prefix shortens its prefill.
void startStream(event_queue &events, engine_model &engine, engine_stream stream);

/// Stops a stream; returns the output tokens it had generated.
double stopStream(event_queue &events, engine_model &engine, std::uint64_t attempt);

/// Output tokens that the stream has generated so far; 0 if it is not running.
double generatedTokens(event_queue &events, engine_model &engine, std::uint64_t attempt);

/// Scales the engine's token rate by @p speedFactor from now on.
void setSpeed(event_queue &events, engine_model &engine, double speedFactor);

} // namespace quincefall::bench
