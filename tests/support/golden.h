#pragma once

#include <string_view>

namespace quincefall::testing {

/// Compares @p actual with the file tests/golden/@p name and reports the first differing line
/// through Boost.Test. With QUINCEFALL_UPDATE_GOLDEN set in the environment the file is rewritten
/// instead; that is refused when CI is set.
void checkGolden(std::string_view name, std::string_view actual);

} // namespace quincefall::testing
