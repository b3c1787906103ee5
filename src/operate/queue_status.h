#pragma once

#include "ledger/config_state.h"

#include <boost/json/array.hpp>

#include <functional>
#include <string_view>

namespace quincefall {

class queue_service;

/// The queues that this host owns: for each pool the waiting and running requests, in total and by
/// class, and the upstreams with state and reason.
boost::json::array describeQueues(const config_state &config, const queue_service &queues,
                                  const std::function<bool(std::string_view pool)> &isOwned);

} // namespace quincefall
