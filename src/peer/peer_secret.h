#pragma once

#include <string>
#include <string_view>

namespace quincefall {

/// The value of the `authorization` header field for @p secret.
std::string bearerField(std::string_view secret);

/// Whether two texts are equal, in a time that does not depend on where they differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace quincefall
