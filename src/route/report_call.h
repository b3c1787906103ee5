#pragma once

#include "clients/connection_pool.h"
#include "route/wire_format.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace quincefall {

/// How a call that asks an upstream for its state ended.
struct report_end
{
    bool isAnswered = false; ///< The head of an answer came that belongs to no other request.
    bool isReusable = false; ///< The connection may carry a further request.
    std::optional<milliseconds> keepAlive; ///< Idle time limit of the connection.
    std::string body;
};

/// Asks the upstream of @p entry for its state on an idle connection. What came before the call
/// and what answers another request counts for no answer. After @p limit the connection is not
/// reusable, and nothing is answered.
boost::asio::awaitable<report_end> callForReport(pooled_connection &connection,
                                                 const wire_format &wire,
                                                 const upstream_entry &entry, microseconds limit);

} // namespace quincefall
