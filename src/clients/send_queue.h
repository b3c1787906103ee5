#pragma once

#include "kernel/asio_headers.h"

#include <cstddef>

namespace quincefall {

/// Bytes written to @p socket that its peer has not acknowledged, sent or not. 0 where the system
/// does not tell. Also counts for a connection that has been closed or reset by the peer.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

} // namespace quincefall
