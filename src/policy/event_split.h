#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

/// Splits the bytes of an event stream into whole events, so that half an event of a broken
/// upstream never reaches a caller.
struct event_splitter
{
    std::string pending; ///< Bytes after the last whole event.
    std::optional<std::uint64_t> lastId; ///< Of the events handed out.
};

/// Takes in @p bytes and returns the whole events that they complete, untouched. Events whose id
/// is not above @p splitter's last are left out, since they were handed out already.
std::string extractEvents(event_splitter &splitter, std::string_view bytes);

} // namespace quincefall
