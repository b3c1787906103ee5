#pragma once

#include <boost/json/value.hpp>

#include <iosfwd>

namespace quincefall {

/// Writes the answer of /v1/status as tables for people: hosts, queues, upstreams, and every other
/// section as JSON.
void printStatus(std::ostream &out, const boost::json::value &status);

} // namespace quincefall
