#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

namespace quincefall {

class http_exchange;

/// Registers the handler with which peers read this host's time line. @p needs must outlive the
/// calls of the mesh.
void registerTimelineHandler(const operator_context &needs);

/// Answers GET /timeline: this host's events as JSON lines.
boost::asio::awaitable<void> answerOwnTimeline(http_exchange &exchange,
                                               const operator_context &needs);

/// Answers GET /v1/timeline: the events of all live hosts in the order of their stamps.
boost::asio::awaitable<void> answerFleetTimeline(http_exchange &exchange,
                                                 const operator_context &needs);

} // namespace quincefall
