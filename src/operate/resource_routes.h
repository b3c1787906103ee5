#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace quincefall {

class http_exchange;

/// Answers /v1/resources and what lies below it; @p rest is the path behind that.
boost::asio::awaitable<void> answerResources(http_exchange &exchange, const operator_context &needs,
                                             std::string_view rest);

/// Answers POST /v1/plan: what publishing the listed resources would do, without doing it.
boost::asio::awaitable<void> answerPlan(http_exchange &exchange, const operator_context &needs);

/// Answers GET /v1/operations/{id}: what became of a change.
boost::asio::awaitable<void> answerOperation(http_exchange &exchange, const operator_context &needs,
                                             std::string_view operation);

} // namespace quincefall
