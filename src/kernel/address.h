#pragma once

#include "kernel/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quincefall {

/// Address of a process: an IP number and a TCP port.
struct host_address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const host_address &) const = default;
};

/// Reads "ip:port" or "[ipv6]:port". Fails with malformedRequest.
result<host_address> parseAddress(std::string_view text);

/// Writes @p address as "ip:port", with brackets around an IPv6 number.
std::string toString(const host_address &address);

} // namespace quincefall
