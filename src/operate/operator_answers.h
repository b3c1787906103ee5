#pragma once

#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

class http_exchange;

/// Answers an operator with problem+json; unknown outcomes say so in the member `run`.
boost::asio::awaitable<void> refuseOperator(http_exchange &exchange, result_code code,
                                            std::string detail);

/// Reads a version or offset: decimal digits only.
std::optional<std::uint64_t> parseVersion(std::string_view text);

} // namespace quincefall
