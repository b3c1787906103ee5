#pragma once

#include "serve/answer_stream.h"
#include "serve/chat_job.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quincefall {

class http_exchange;

/// Streams the events of @p answer to the caller as they arrive. When the answer fails after the
/// response was started, the caller gets an event "error" and the connection is closed without the
/// end mark.
boost::asio::awaitable<void> sendChatStream(http_exchange &exchange, const chat_job &job,
                                            std::shared_ptr<answer_stream> answer);

/// Waits for the end of the answer and sends it as one JSON object.
boost::asio::awaitable<void> sendChatJson(http_exchange &exchange, const chat_job &job,
                                          std::shared_ptr<answer_stream> answer);

} // namespace quincefall
