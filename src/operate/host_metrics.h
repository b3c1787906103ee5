#pragma once

namespace quincefall {

class config_service;
class metrics;
class peer_mesh;

/// Adds the values that are read from services at each rendering: processor time, memory, control
/// bytes, and how this host follows the log. The services must outlive @p meters' renderings.
void addHostMetrics(metrics &meters, const config_service &config, const peer_mesh &mesh);

} // namespace quincefall
