#pragma once

#include "kernel/asio_headers.h"

namespace quincefall {

/// Parses bytes that are already in @p buffer into the current body buffer of @p parser, so that
/// many small chunks take one iteration of the event loop. Stops at an error or when the body
/// buffer is full; the next read parses the remaining bytes and reports the error.
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
