#pragma once

#include "kernel/asio_headers.h"

#include <string_view>

namespace quincefall {

/// Whether a message has no transfer coding, or only chunked, which states its length. @p version
/// is 11 for HTTP/1.1.
bool hasKnownTransferCoding(const boost::beast::http::fields &fields, unsigned version);

/// Whether the fields state the length of a request in a single way.
bool hasPlainLength(const boost::beast::http::fields &fields, unsigned version);

/// What keeps a message from being an answer to a request that asks for no other protocol.
enum class head_fault {
    none,
    status, ///< Not 100 to 599.
    protocol, ///< Switched.
    transferCoding, ///< Of a final answer, unknown.
};

/// The first fault of the head of an answer. Names of fields are checked by the parser.
head_fault faultOfHead(const boost::beast::http::response_header<> &head);

/// Whether a line of @p lines, which are whole lines of a head, goes on in the next one.
bool hasFoldedField(std::string_view lines);

} // namespace quincefall
