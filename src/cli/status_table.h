#pragma once

#include <boost/json/value.hpp>

#include <iosfwd>

namespace quincefall {

/// Prints the response of /v1/status: tables of hosts, queues and upstreams, then every other
/// section as JSON.
void printStatus(std::ostream &out, const boost::json::value &status);

} // namespace quincefall
