#pragma once

#include "peer.pb.h"
#include "policy/pool_scheduler.h"

#include <string>

namespace quincefall {

/// Converts a permit request that arrives at @p now.
work_item toWorkItem(const wire::PermitRequest &request, instant now);

/// Converts an entry host's report of a finished attempt.
completion toCompletion(const wire::ReleaseRequest &message);

/// Converts a running attempt that @p entryHost announces; an earlier owner may have granted it.
adopted_attempt toAdoptedAttempt(const wire::RunningPermit &running, const std::string &entryHost);

} // namespace quincefall
