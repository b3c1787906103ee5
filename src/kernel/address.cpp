#include "kernel/address.h"

#include <charconv>

namespace quincefall {
namespace {

tl::unexpected<error> malformed(std::string_view text)
{
    return makeError(result_code::malformedRequest,
                     "\"" + std::string(text) + "\" is not an address of the form ip:port");
}

} // namespace

result<host_address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return malformed(text);
    std::string_view ip = text.substr(0, colon);
    if (ip.front() == '[') {
        if (ip.back() != ']')
            return malformed(text);
        ip = ip.substr(1, ip.size() - 2);
    } else if (ip.find(':') != std::string_view::npos) {
        return malformed(text);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.begin(), digits.end(), port);
    if (failure != std::errc() || end != digits.end() || ip.empty())
        return malformed(text);
    return host_address{std::string(ip), port};
}

std::string toString(const host_address &address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    const std::string ip = isIpv6 ? "[" + address.ip + "]" : address.ip;
    return ip + ":" + std::to_string(address.port);
}

} // namespace quincefall
