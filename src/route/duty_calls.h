#pragma once

#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace quincefall {

/// Requests that began to run in one window, by organisation.
struct usage_report
{
    std::int64_t window = 0; ///< Number of the window since 1970, in true time.
    std::map<std::string, std::uint64_t> counts;
};

/// Number of engines of one kind that a service is to have in one failure domain.
struct scaling_order
{
    std::string service;
    std::string failureDomain;
    unsigned count = 0;
    bool isInterruptible = false; ///< Cheaper engines that may be taken away at short notice.

    bool operator==(const scaling_order &) const = default;
};

/// Calls of duties, which one host of the fleet performs at a time. @p fence is the number from
/// duty_holder::commit(). They fail with
/// - fencingStale when the platform has seen a higher fencing token for the subject,
/// - enginesUnavailable when engines of this kind are not to be had at the moment,
/// - dutyRateLimited when all hosts together call too often,
/// - upstreamUnreachable when nothing was sent,
/// - upstreamTimeout and upstreamFailed when the call may still take effect later.
struct duty_calls
{
    std::function<boost::asio::awaitable<result<void>>(usage_report report, std::uint64_t fence)>
        reportUsage;
    std::function<boost::asio::awaitable<result<void>>(scaling_order order, std::uint64_t fence)>
        orderEngines;
};

} // namespace quincefall
