#pragma once

#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

class http_exchange;

/// Responds with an error as application/problem+json. The member `run` is "unknown" for the code
/// writeUnknown and "not-run" for all others.
boost::asio::awaitable<void> refuseOperator(http_exchange &exchange, result_code code,
                                            std::string detail);

/// Parses a version or offset, which must consist of decimal digits.
std::optional<std::uint64_t> parseVersion(std::string_view text);

} // namespace quincefall
