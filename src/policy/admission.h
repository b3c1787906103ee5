#pragma once

#include "policy/drain_rate.h"
#include "policy/organisation_share.h"
#include "policy/wait_queue.h"

namespace quincefall {

/// Estimates the number of waiting requests that start before a new one of @p organisation in class
/// @p serviceClass: all of higher tiers and of the other classes of its tier, and those of its own
/// class that fair sharing serves first. Lower tiers never count.
double requestsAhead(const wait_queue &queue, const organisation_table &organisations,
                     const class_queue &serviceClass, std::string_view organisation);

/// Expected wait of a new request with @p ahead requests before it, when @p drainPerSecond requests
/// start per second. Zero when the rate is not known (0).
microseconds expectedWait(double ahead, double drainPerSecond);

} // namespace quincefall
