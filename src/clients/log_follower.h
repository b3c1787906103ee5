#pragma once

#include "clients/log_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace quincefall {

/// Reads one stream of the log from an offset on, page by page, and tells whether the log answers.
class log_follower
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        const log_client &log;
        std::string stream;
        std::function<std::uint64_t()> next; ///< Offset to read from.
        std::function<void(const log_page &)> take; ///< Gets each page, truncated ones too.
        std::function<void(bool)> reachable; ///< Told when reads begin or cease to succeed.
    };

    static std::unique_ptr<log_follower> makeLogFollower(dependencies needs);
    ~log_follower();

    void start();
    void stop();

    /// True while the last read succeeded.
    bool isReachable() const;

private:
    struct state;
    explicit log_follower(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
