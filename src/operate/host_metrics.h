#pragma once

namespace quincefall {

class config_service;
class metrics;
class peer_mesh;

/// Registers the metrics whose values are read at each rendering: CPU time, memory, bytes exchanged
/// with peers, and how far this host has followed the log. The services must outlive the last
/// rendering of @p meters.
void addHostMetrics(metrics &meters, const config_service &config, const peer_mesh &mesh);

} // namespace quincefall
