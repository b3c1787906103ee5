#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace quincefall::standin {

/// Fetches weights from the weight store and returns its HTTP status, or 0 when it cannot be
/// reached.
boost::asio::awaitable<int> fetchWeights(boost::asio::io_context &context, std::string ip,
                                         std::uint16_t port, std::string model,
                                         std::string version);

} // namespace quincefall::standin
