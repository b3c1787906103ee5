#pragma once

#include "kernel/address.h"
#include "policy/engine_orders.h"
#include "policy/fleet_load.h"
#include "policy/routed_upstream.h"

#include <map>
#include <string>

namespace quincefall {

/// Work of all hosts at the pool's engines. @p domains gives the failure domain of other hosts,
/// @p ownDomain is this host's.
service_work sumWork(const service_pool &pool, fleet_load &others,
                     const std::map<host_address, std::string> &domains,
                     const std::string &ownDomain);

/// The pool's engines by failure domain and kind.
std::map<std::string, listed_engines> countEngines(const service_pool &pool);

/// Largest number of slots of an engine of the pool; 1 if there are none.
unsigned slotsOf(const service_pool &pool);

} // namespace quincefall
