#pragma once

#include "ledger/config_state.h"

#include <boost/json/array.hpp>

namespace quincefall {

/// Dry run of publishing @p resources, each with `kind`, `name` and `spec`, in order on @p state.
/// Returns a row for each: `action` (created, changed, unchanged or refused), the current `version`
/// (0 for a new resource) and the `fields` that differ, or `code`, `name_of_code` and `detail` if
/// it is refused.
boost::json::array planResources(const config_state &state, const boost::json::array &resources);

} // namespace quincefall
