#pragma once

#include "kernel/clock.h"
#include "policy/software_versions.h"
#include "policy/stream_origins.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// A stream that a host has begun and that may still be taken up.
struct stored_stream
{
    std::uint64_t stream = 0;
    upstream_kind kind;
    microseconds age{0}; ///< Since it began.
};

/// The software versions of a service that has had several, as one host has seen them.
struct stored_versions
{
    std::string service;
    std::set<std::string> listed; ///< When the record was written.
    bool hasSeenOthers = false;
    microseconds unchangedFor{0}; ///< Since the last version joined or left.
};

/// What one host keeps in the platform's store for the time after all hosts were lost.
struct stream_record
{
    microseconds age{0}; ///< Since it was written; the other ages hold then.
    std::uint64_t storeEpoch = 0; ///< In which it was written; 0 if unknown.
    std::vector<stored_stream> streams;
    std::vector<stored_versions> versions;
};

/// The versions of all services that have had several.
std::vector<stored_versions> versionsToStore(const std::map<std::string, version_history> &services,
                                             instant now);

/// What the records say of one service's versions, as if this host had seen it: that of the newest
/// record, and what others within @p window had besides. @p history may already have a list.
void restoreVersions(version_history &history, const std::string &service,
                     std::span<const stream_record> records, microseconds window, instant now);

/// Whether the store may have lost records: it is in a newer epoch than all of @p records.
bool mayLackRecords(std::span<const stream_record> records, std::uint64_t storeEpoch);

} // namespace quincefall
