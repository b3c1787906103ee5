#pragma once

#include "kernel/asio_headers.h"

namespace quincefall {

/// Adds what was received already to the piece of the body that @p parser fills, so that many small
/// chunks cost one turn of the event loop. What is left waits for the next read, which reports
/// errors.
inline void
parseBuffered(boost::beast::http::response_parser<boost::beast::http::buffer_body> &parser,
              boost::beast::flat_buffer &buffer)
{
    boost::system::error_code code;
    while (!code && !parser.is_done() && buffer.size() > 0 && parser.get().body().size > 0) {
        const std::size_t used = parser.put(buffer.data(), code);
        buffer.consume(used);
    }
}

} // namespace quincefall
