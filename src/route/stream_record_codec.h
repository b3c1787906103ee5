#pragma once

#include "policy/stream_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

/// Serializes a record that is written at the wall time @p now.
std::string encodeStreamRecord(const stream_record &record, wall_milliseconds now);

/// Parses a record and gives its age at @p now; empty if @p bytes are none.
std::optional<stream_record> decodeStreamRecord(std::string_view bytes, wall_milliseconds now);

} // namespace quincefall
