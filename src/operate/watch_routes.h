#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

namespace quincefall {

class http_exchange;

/// Answers GET /v1/watch?from=VERSION: JSON lines for each later change and for each host where it
/// came into force, until the caller goes away. When the changes are no longer kept, all resources
/// come first.
boost::asio::awaitable<void> answerWatch(http_exchange &exchange, const operator_context &needs);

} // namespace quincefall
