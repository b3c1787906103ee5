#pragma once

#include "kernel/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <string>
#include <vector>

namespace quincefall {

class change_feed;
class config_service;
class metrics;
class peer_mesh;
class timeline;

/// A part of the status that a service reports; read() must be cheap and free of waits.
struct status_section
{
    std::string name;
    std::function<boost::json::value()> read;
};

/// All that the operators' routes use.
struct operator_context
{
    boost::asio::io_context &context;
    config_service &config;
    timeline &events;
    peer_mesh &mesh;
    change_feed &changes;
    metrics &meters;
    clock_source clock;
    std::string hostName;
    std::string operatorKey;
    std::function<bool()> isStopping;
    std::function<void()> startDrain; ///< Begins the graceful stop of this host.
    std::function<std::vector<std::string>()> liveHosts; ///< Names of the live hosts, this one too.
    std::vector<status_section> sections;
};

} // namespace quincefall
