#pragma once

#include "serve/answer_stream.h"
#include "serve/chat_job.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quincefall {

class http_exchange;

/// Sends the tokens of @p answer to a streaming caller as they come. A failure after the first
/// token is an event "error", and the answer's end mark stays away.
boost::asio::awaitable<void> sendChatStream(http_exchange &exchange, const chat_job &job,
                                            std::shared_ptr<answer_stream> answer);

/// Waits for the whole answer and sends it as one JSON object.
boost::asio::awaitable<void> sendWholeChat(http_exchange &exchange, const chat_job &job,
                                           std::shared_ptr<answer_stream> answer);

} // namespace quincefall
