#pragma once

#include "policy/drain_rate.h"
#include "policy/organisation_share.h"
#include "policy/wait_queue.h"

namespace quincefall {

/// Number of waiting requests that would start before a new one of @p organisation in class
/// @p serviceClass: all of higher tiers, and of its own tier what fair sharing puts ahead of it.
/// Lower tiers never count.
double requestsAhead(const wait_queue &queue, const organisation_table &organisations,
                     const class_queue &serviceClass, std::string_view organisation);

/// Time until a new request with @p ahead requests before it starts, at @p drainPerSecond.
/// Zero when the rate is not known.
microseconds expectedWait(double ahead, double drainPerSecond);

} // namespace quincefall
