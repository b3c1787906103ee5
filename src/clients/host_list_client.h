#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace quincefall {

class http_client;

/// One entry of the platform's host list.
struct listed_host
{
    std::string name;
    bool isEntry = false; ///< True for a host that runs quincefall, false for an upstream.
    host_address address;
    std::string region;
    std::string failureDomain;
    bool isLeaving = false;

    bool operator==(const listed_host &) const = default;
};

/// Reads the platform's host list, which may be out of date, from the service at @p address. Fails
/// with hostListUnavailable.
boost::asio::awaitable<result<std::vector<listed_host>>>
readHostList(http_client &client, host_address address, milliseconds timeout);

} // namespace quincefall
