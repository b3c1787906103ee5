#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace quincefall {

/// Contents that were seen under a key, so that each is logged once. The oldest are forgotten.
struct seen_contents
{
    std::unordered_set<std::uint64_t> hashes;
    std::deque<std::uint64_t> order; ///< `hashes`, the oldest first.
};

/// Records @p content under @p key. False if it was known.
bool recordContent(seen_contents &seen, std::string_view key, std::string_view content);

/// @p text with all characters but visible ASCII replaced by their codes, for a log line.
std::string toPrintable(std::string_view text);

} // namespace quincefall
