#pragma once

#include "ledger/config_state.h"

#include <boost/json/array.hpp>

namespace quincefall {

/// What publishing @p resources, each with `kind`, `name` and `spec`, one after the other would do
/// to @p state: for each one `action` (created, changed, unchanged or refused), the current
/// `version`, the `fields` that differ, and `code` and `detail` when it is refused.
boost::json::array planResources(const config_state &state, const boost::json::array &resources);

} // namespace quincefall
