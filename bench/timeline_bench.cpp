#include "observe/timeline.h"

#include <chrono>
#include <iostream>

// Measures the time to record one event of the size of a `request.granted` event, mostly with a
// full ring buffer.

namespace {

constexpr std::size_t capacity = 20'000;
constexpr int eventCount = 1'000'000;

double nanosecondsPerEvent()
{
    using namespace quincefall;
    const auto events = timeline::makeTimeline("h1", makeSystemClock(), capacity);
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < eventCount; ++index) {
        events->record("request.granted", "daycare.chat-12345", "roster-assistant",
                       {{"upstream", "engine-17"},
                        {"entry", "h2"},
                        {"waiting", std::to_string(index)},
                        {"running", "12"},
                        {"class", "director"},
                        {"waited_ms", "17"}});
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / eventCount;
}

} // namespace

int main()
{
    std::cout << "timeline record: " << nanosecondsPerEvent() << " ns per event (" << eventCount
              << " events of 6 fields, ring of " << capacity << ")\n";
    return 0;
}
