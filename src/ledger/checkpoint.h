#pragma once

#include "ledger/config_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// How often hosts write checkpoints of the configuration stream, and how large their records are.
struct checkpoint_settings
{
    std::uint64_t intervalRecords = 500; ///< Must be below the log's retention.
    std::size_t maxPartBytes = 262'144; ///< Longest part of the dumped state in one record.
};

/// True when at least `intervalRecords` records follow those that the last complete checkpoint
/// covers.
bool isCheckpointDue(const config_state &state, const checkpoint_settings &settings);

/// Splits the dump of @p state into records, to be appended in the returned order. Every record
/// carries @p id, so that readers can separate the parts of interleaved checkpoints.
std::vector<std::string> encodeCheckpoint(const config_state &state, const std::string &id,
                                          const checkpoint_settings &settings);

/// Collects checkpoint parts for a reader that cannot apply the stream from offset 0, because the
/// log was truncated.
struct checkpoint_reader
{
    struct partial
    {
        std::size_t partCount = 0;
        std::map<std::size_t, std::string> texts; ///< By part number.
    };

    std::map<std::string, partial> incomplete; ///< By checkpoint id.
};

/// Adds a record of the stream. Returns the restored state when the record completes a checkpoint.
/// Records that are not valid checkpoint parts are ignored.
std::optional<config_state> addCheckpointRecord(checkpoint_reader &reader, std::string_view record);

} // namespace quincefall
