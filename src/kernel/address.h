#pragma once

#include "kernel/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quincefall {

/// IP address and TCP port of a process.
struct host_address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const host_address &) const = default;
};

/// Parses "ip:port" or "[ipv6]:port". Fails with malformedRequest.
result<host_address> parseAddress(std::string_view text);

/// Formats @p address as "ip:port"; an IPv6 address is put in brackets.
std::string toString(const host_address &address);

} // namespace quincefall
