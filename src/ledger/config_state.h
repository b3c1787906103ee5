#pragma once

#include "kernel/result.h"
#include "ledger/resource.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quincefall {

/// A resource as the log last set it.
struct stored_resource
{
    std::uint64_t version = 0; ///< Offset of the record that set it plus one; 0 is never used.
    std::string operation;
    boost::json::object json; ///< The specification as written.
    resource_spec spec;
};

/// What became of one change, remembered by its operation id.
struct operation_outcome
{
    std::string operation;
    result_code code = result_code::ok;
    std::uint64_t offset = 0; ///< Of the record that decided it.
    std::string detail;
};

/// A change of one resource, as published in the configuration stream.
struct config_change
{
    std::string operation; ///< Unique id, so that a repeated record takes effect once.
    resource_key key;
    std::optional<std::uint64_t> expectedVersion; ///< 0: must not exist; unset: any.
    std::optional<boost::json::object> spec; ///< Unset: delete.
};

/// Text of the record for @p change.
std::string encodeChange(const config_change &change);

/// The configuration after all records below `next`: a pure fold of the stream by offset.
struct config_state
{
    std::uint64_t next = 0; ///< Offset of the first record that is not folded in.
    std::map<resource_key, stored_resource> resources;
    std::deque<operation_outcome> outcomes; ///< Oldest first, bounded.
    std::unordered_map<std::string, std::uint64_t> outcomeOffsets; ///< By operation id.
    std::uint64_t lastCheckpoint = 0; ///< `next` of the newest checkpoint seen.
};

/// What one record did to the state.
struct config_effect
{
    std::optional<operation_outcome> outcome; ///< Unset for checkpoints and repeats.
    std::optional<resource_key> changed; ///< Set when a resource is new, replaced or deleted.
};

/// Folds in the record at @p offset, which must be state.next. Records that are not valid have
/// no effect but an outcome.
config_effect applyConfigRecord(config_state &state, std::uint64_t offset, std::string_view record);

/// The outcome of @p operation, if it is still remembered.
const operation_outcome *findOutcome(const config_state &state, const std::string &operation);

/// The typed specification of a resource, or null.
template <typename spec_type>
const spec_type *findSpec(const config_state &state, resource_kind kind, const std::string &name)
{
    const auto entry = state.resources.find({kind, name});
    return entry == state.resources.end() ? nullptr : std::get_if<spec_type>(&entry->second.spec);
}

/// The declared upstream @p name of @p pool, or null.
const upstream *findUpstream(const config_state &state, const std::string &pool,
                             const std::string &name);

/// Checks @p change against @p state as the fold will: shape, references, expected version.
result<void> validateChange(const config_state &state, const config_change &change);

/// The whole state as text, from which restoreState makes an equal one.
std::string dumpState(const config_state &state);

/// Reads the text of dumpState. Fails with messageInvalid.
result<config_state> restoreState(std::string_view text);

} // namespace quincefall
