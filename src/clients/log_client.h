#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

class http_client;

/// One record of a log stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
};

/// What a read of a log stream returned.
struct log_page
{
    std::uint64_t oldestOffset = 0; ///< The oldest offset that the log still has.
    std::uint64_t nextOffset = 0; ///< The offset that the next append will get.
    bool isTruncated = false; ///< The requested offset was already removed from the log.
    std::vector<log_record> records;
};

/// Client of the platform's log service.
class log_client
{
public:
    log_client(http_client &client, host_address address);

    /// Appends @p records in order and returns the offset of the first. Fails with logUnavailable
    /// when nothing was written and with appendUnknown when they may have been written.
    boost::asio::awaitable<result<std::uint64_t>>
    append(std::string stream, std::vector<std::string> records, milliseconds timeout) const;

    /// Reads records from offset @p from on, waiting up to @p wait for the first. Fails with
    /// logUnavailable.
    boost::asio::awaitable<result<log_page>> read(std::string stream, std::uint64_t from,
                                                  milliseconds wait) const;

private:
    http_client &m_client;
    host_address m_address;
};

} // namespace quincefall
