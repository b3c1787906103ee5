#pragma once

#include "ledger/config_state.h"
#include "policy/pool_scheduler.h"

#include <functional>
#include <string>
#include <string_view>

namespace quincefall {

/// Builds the scheduler's plan of pool @p name from @p config. @p isLeaving returns true for the
/// upstreams that the platform lists as leaving. An unknown pool gives a plan without upstreams.
pool_plan buildPoolPlan(const config_state &config, const std::string &name,
                        const std::function<bool(std::string_view)> &isLeaving);

} // namespace quincefall
