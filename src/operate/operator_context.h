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

/// A section of a host's status. read() must be cheap and must not block.
struct status_section
{
    std::string name;
    std::function<boost::json::value()> read;
};

/// The dependencies of the operator API's routes.
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
    /// Names of the live hosts, including this one.
    std::function<std::vector<std::string>()> liveHosts;
    std::vector<status_section> sections;
};

} // namespace quincefall
