#include "policy/partial_event.h"

#include <algorithm>

namespace quincefall {

void recordPartialBytes(partial_event &event, microseconds longestPause, instant now)
{
    if (event.lastBytesAt)
        event.arriving += std::min<microseconds>(now - *event.lastBytesAt, longestPause);
    event.lastBytesAt = now;
}

} // namespace quincefall
