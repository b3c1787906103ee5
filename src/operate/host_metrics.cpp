#include "operate/host_metrics.h"

#include "observe/held_metrics.h"
#include "observe/metrics.h"
#include "operate/config_service.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

void addControlBytes(metrics &meters, const peer_mesh &mesh)
{
    const char *name = "quincefall_control_bytes_total";
    const char *help = "Bytes exchanged with other hosts of the fleet.";
    meters.addCallbackMetric({name, "counter", help, "direction=\"sent\"",
                              [&mesh] { return double(mesh.trafficTotals().sent); }});
    meters.addCallbackMetric({name, "counter", help, "direction=\"received\"",
                              [&mesh] { return double(mesh.trafficTotals().received); }});
}

double logLag(const config_service &config)
{
    const std::uint64_t inForce = config.state().next;
    return config.nextLogOffset() > inForce ? double(config.nextLogOffset() - inForce) : 0;
}

} // namespace

void addHostMetrics(metrics &meters, const config_service &config, const peer_mesh &mesh,
                    const std::shared_ptr<byte_budget> &held)
{
    addHeldMetrics(meters, held);
    addControlBytes(meters, mesh);
    meters.addCallbackMetric({"quincefall_log_reachable", "gauge",
                              "1 while the last read of the platform's log succeeded.", "",
                              [&config] { return config.isLogReachable() ? 1.0 : 0.0; }});
    meters.addCallbackMetric({"quincefall_log_lag_records", "gauge",
                              "Records of the log, as last read, that are not in force here.", "",
                              [&config] { return logLag(config); }});
    meters.addCallbackMetric({"quincefall_config_version", "gauge",
                              "Changes up to this version are in force here.", "",
                              [&config] { return double(config.state().next); }});
    meters.addCallbackMetric({"process_cpu_seconds_total", "counter",
                              "Processor time of the process in user and kernel mode.", "",
                              processCpuSeconds});
    meters.addCallbackMetric({"process_resident_memory_bytes", "gauge",
                              "Resident memory of the process.", "", processResidentBytes});
}

} // namespace quincefall
