#pragma once

#include "ledger/config_state.h"
#include "serve/load_poller.h"

#include <functional>
#include <string_view>
#include <vector>

namespace quincefall {

class host_list_service;
class queue_service;

/// The upstreams of the declared pools for which @p isOwned returns true. This host polls their
/// load.
std::vector<polled_upstream> ownedUpstreams(const config_state &config,
                                            const std::function<bool(std::string_view)> &isOwned);

/// Sets the plan of each declared pool in @p queues and removes pools that are not declared.
void configurePools(queue_service &queues, const config_state &config,
                    const host_list_service &hosts);

} // namespace quincefall
