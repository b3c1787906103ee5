#include "observe/held_metrics.h"

#include "observe/metrics.h"

namespace quincefall {

void addHeldMetrics(metrics &meters, const std::shared_ptr<byte_budget> &held)
{
    meters.addCallbackMetric({"quincefall_held_bytes", "gauge",
                              "Bytes of requests and answers that the host holds.", "",
                              [held] { return double(held->heldBytes()); }});
    meters.addCallbackMetric({"quincefall_messages_dropped_total", "counter",
                              "Requests and answers dropped since all together were too large.", "",
                              [held] { return double(held->evictions()); }});
}

} // namespace quincefall
