#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

namespace quincefall {

class http_exchange;

/// Answers GET /v1/watch?from=VERSION with a stream of JSON lines: one for each later change, and
/// one each time that a host reports a higher version in force. The stream lasts until the caller
/// disconnects or this host stops. If changes after VERSION are no longer kept, the stream has
/// lines for all resources in their place.
boost::asio::awaitable<void> answerWatch(http_exchange &exchange, const operator_context &needs);

} // namespace quincefall
