#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace quincefall {

class peer_mesh;

/// The response of one host, or the error of the call.
struct gathered_response
{
    std::string host;
    result<std::string> response;
};

/// Calls @p path on all @p hosts concurrently. Returns one response per host, in the order of
/// @p hosts, after all calls have ended.
boost::asio::awaitable<std::vector<gathered_response>>
gatherFromPeers(boost::asio::io_context &context, peer_mesh &mesh, std::vector<std::string> hosts,
                std::string path, std::string body, milliseconds timeout);

} // namespace quincefall
