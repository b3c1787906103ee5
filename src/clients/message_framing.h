#pragma once

#include "kernel/asio_headers.h"

#include <string_view>

namespace quincefall {

/// Whether a message has no transfer coding, or only chunked, which states its length. @p version
/// is 11 for HTTP/1.1.
bool hasKnownTransferCoding(const boost::beast::http::fields &fields, unsigned version);

/// Whether the fields state the length of a request in a single way.
bool hasPlainLength(const boost::beast::http::fields &fields, unsigned version);

/// Whether a line of @p lines, which are whole lines of a head, goes on in the next one.
bool hasFoldedField(std::string_view lines);

} // namespace quincefall
