#pragma once

#include "ledger/config_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// When a host writes a checkpoint of the configuration stream.
struct checkpoint_rules
{
    std::uint64_t everyRecords = 500; ///< Records after the last checkpoint; below the retention.
    std::size_t partBytes = 262'144; ///< Longest text in one record.
};

/// True when the stream has gone on long enough since the last checkpoint.
bool isCheckpointDue(const config_state &state, const checkpoint_rules &rules);

/// The records that together hold @p state, in the order in which they are appended. @p id tells
/// the parts of different checkpoints apart.
std::vector<std::string> encodeCheckpoint(const config_state &state, const std::string &id,
                                          const checkpoint_rules &rules);

/// Parts of checkpoints seen so far by a reader that cannot fold the stream from its beginning.
struct checkpoint_reader
{
    struct partial
    {
        std::size_t expected = 0;
        std::map<std::size_t, std::string> texts;
    };

    std::map<std::string, partial> partials;
};

/// Takes in a record; returns the state once a checkpoint's last missing part has come. Other
/// records are ignored.
std::optional<config_state> addCheckpointRecord(checkpoint_reader &reader, std::string_view record);

} // namespace quincefall
