#pragma once

#include "serve/problem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <string>

namespace quincefall {

class http_exchange;

/// Answers with problem+json, Retry-After and X-Request-Id.
boost::asio::awaitable<void> respondProblem(http_exchange &exchange, problem failure,
                                            std::string requestId);

/// Answers with a JSON object.
boost::asio::awaitable<void> respondJson(http_exchange &exchange, int status,
                                         boost::json::object body, std::string requestId);

} // namespace quincefall
