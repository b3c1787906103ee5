#pragma once

#include <string_view>

namespace quincefall {

/// Whose answer an upstream sent on a connection.
enum class answer_owner {
    thisRequest,
    otherRequest, ///< An earlier request on the connection.
    unknown, ///< It may be either's.
};

/// Decides whose answer it is that echoes @p answerId, which is empty if the answer has no id.
/// @p hasCarriedRequest tells whether the connection was used by earlier requests.
answer_owner ownerOf(std::string_view answerId, std::string_view requestId, bool hasCarriedRequest);

} // namespace quincefall
