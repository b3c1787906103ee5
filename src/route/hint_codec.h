#pragma once

#include "peer.pb.h"
#include "policy/fleet_load.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Serializes a hint.
std::string encodeHint(const load_hint &hint);

/// Parses a hint; empty when @p bytes are not a valid one.
std::optional<load_hint> decodeHint(std::string_view bytes);

/// Serializes suspected traits without a hint.
std::string encodeSuspects(std::span<const told_suspect> suspects);

/// Serialize and parse a held trait for the platform's store. Ages are given at the wall time
/// @p now. Empty when @p bytes are not valid.
std::string encodeHeldTrait(const told_suspect &suspect, wall_milliseconds now);
std::optional<told_suspect> decodeHeldTrait(std::string_view bytes, wall_milliseconds now);

/// Read a message that was parsed: a hint, empty if it has no valid host, and the suspected
/// traits in it.
std::optional<load_hint> readHint(const wire::LoadHint &message);
std::vector<told_suspect> readSuspects(const wire::LoadHint &message);

} // namespace quincefall
