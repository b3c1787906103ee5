#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace quincefall::standin {

/// Fetches the weights of a model version from the weight store. Returns the HTTP status, or 0 if
/// the connection fails before the response is complete.
boost::asio::awaitable<int> fetchWeights(boost::asio::io_context &context, std::string ip,
                                         std::uint16_t port, std::string model,
                                         std::string version);

} // namespace quincefall::standin
