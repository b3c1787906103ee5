#pragma once

#include "kernel/byte_budget.h"

#include <memory>

namespace quincefall {

class config_service;
class metrics;
class peer_mesh;

/// Registers the metrics whose values are read at each rendering: CPU time, memory, bytes exchanged
/// with peers, what the host holds of them, and how far it has followed the log. The services must
/// outlive the last rendering of @p meters.
void addHostMetrics(metrics &meters, const config_service &config, const peer_mesh &mesh,
                    const std::shared_ptr<byte_budget> &held);

} // namespace quincefall
