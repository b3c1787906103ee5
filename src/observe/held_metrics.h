#pragma once

#include "kernel/byte_budget.h"

#include <memory>

namespace quincefall {

class metrics;

/// Registers the metrics of what a host holds of its peers' bytes.
void addHeldMetrics(metrics &meters, const std::shared_ptr<byte_budget> &held);

} // namespace quincefall
