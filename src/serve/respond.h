#pragma once

#include "serve/problem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <string>

namespace quincefall {

class http_exchange;

/// Sends @p failure as application/problem+json, with Retry-After and X-Request-Id when set.
boost::asio::awaitable<void> respondProblem(http_exchange &exchange, problem failure,
                                            std::string requestId);

/// Sends a JSON object, with X-Request-Id unless @p requestId is empty.
boost::asio::awaitable<void> respondJson(http_exchange &exchange, int status,
                                         boost::json::object body, std::string requestId);

} // namespace quincefall
