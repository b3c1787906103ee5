#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace quincefall {

class http_exchange;

/// Answers /v1/resources and the paths below it; @p rest is the path after /v1/resources.
boost::asio::awaitable<void> answerResources(http_exchange &exchange, const operator_context &needs,
                                             std::string_view rest);

/// Answers POST /v1/plan: a dry run of publishing the listed resources.
boost::asio::awaitable<void> answerPlan(http_exchange &exchange, const operator_context &needs);

/// Answers GET /v1/operations/{id}: the outcome of a change.
boost::asio::awaitable<void> answerOperation(http_exchange &exchange, const operator_context &needs,
                                             std::string_view operation);

} // namespace quincefall
