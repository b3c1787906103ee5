#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace quincefall {

class peer_mesh;

/// What one host answered.
struct gathered_response
{
    std::string host;
    result<std::string> response;
};

/// Calls @p path on all @p hosts at once and waits for every answer or its failure.
boost::asio::awaitable<std::vector<gathered_response>>
gatherFromPeers(boost::asio::io_context &context, peer_mesh &mesh, std::vector<std::string> hosts,
                std::string path, std::string body, milliseconds timeout);

} // namespace quincefall
