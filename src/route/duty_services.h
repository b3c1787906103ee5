#pragma once

#include "kernel/clock.h"
#include "kernel/kernel.h"
#include "observe/metrics.h"
#include "route/duty_calls.h"
#include "route/route_settings.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/io_context.hpp>

namespace quincefall {

/// The parts of a host that its duties use; they must outlive the services. `services` already has
/// the load exchange and the proxy.
struct duty_environment
{
    boost::asio::io_context &context;
    routing_state &routing;
    kernel &services;
    metrics &numbers;
    clock_source clock;
    const route_settings &settings;
};

/// Adds the services that agree on the holder of the duties and perform those that the settings
/// name. The settings must name some.
void addDutyServices(const duty_environment &host, const state_source &source, duty_calls calls);

} // namespace quincefall
