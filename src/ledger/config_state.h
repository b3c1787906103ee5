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

/// A resource as set by the most recent accepted change.
struct stored_resource
{
    std::uint64_t version = 0; ///< Offset of the record that set it, plus 1; never 0.
    std::string operation;
    boost::json::object json; ///< The specification as published.
    resource_spec spec;
};

/// Whether a change was accepted, found by its operation id.
struct operation_outcome
{
    std::string operation;
    result_code code = result_code::ok;
    std::uint64_t offset = 0; ///< Of the record with the change.
    std::string detail;
};

/// A change of one resource, as published in the configuration stream.
struct config_change
{
    std::string operation; ///< Unique id; a repeated record is applied once.
    resource_key key;
    std::optional<std::uint64_t> expectedVersion; ///< 0: must not exist; unset: any.
    std::optional<boost::json::object> spec; ///< Unset: delete.
};

/// Encodes @p change as a record.
std::string encodeChange(const config_change &change);

/// The configuration after all records below `next`. Depends only on the records of the stream,
/// applied in offset order, so that all hosts compute the same state.
struct config_state
{
    std::uint64_t next = 0; ///< Offset of the next record to apply.
    std::map<resource_key, stored_resource> resources;
    std::deque<operation_outcome> outcomes; ///< Oldest first; only the latest are kept.
    std::unordered_map<std::string, std::uint64_t> outcomeOffsets; ///< By operation id.
    std::uint64_t lastCheckpoint = 0; ///< `next` of the newest complete checkpoint.
};

/// The effect of one record on the state.
struct config_effect
{
    std::optional<operation_outcome> outcome; ///< Unset for checkpoints, repeats and invalid JSON.
    std::optional<resource_key> changed; ///< The resource that was created, replaced or deleted.
};

/// Applies the record at @p offset, which must be state.next. An invalid change leaves the
/// resources unchanged and is reported in the outcome.
config_effect applyConfigRecord(config_state &state, std::uint64_t offset, std::string_view record);

/// The outcome of @p operation, or null if it is unknown or no longer kept.
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

/// Runs the checks of applyConfigRecord on @p change: schema, references and expected version.
result<void> validateChange(const config_state &state, const config_change &change);

/// Serialises the state except `lastCheckpoint`; restoreState reads it back.
std::string dumpState(const config_state &state);

/// Parses the output of dumpState. Fails with messageInvalid.
result<config_state> restoreState(std::string_view text);

} // namespace quincefall
