#pragma once

#include "peer.pb.h"
#include "policy/pool_scheduler.h"

#include <string>

namespace quincefall {

/// The request that an entry host asks a permit for.
work_item toWorkItem(const wire::PermitRequest &request, instant now);

/// The end of an attempt, as its entry host tells it.
completion toCompletion(const wire::ReleaseRequest &message);

/// An attempt that runs under a permit of an earlier owner.
running_attempt toRunningAttempt(const wire::RunningPermit &running, const std::string &entryHost);

} // namespace quincefall
