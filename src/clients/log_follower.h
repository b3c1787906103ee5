#pragma once

#include "clients/log_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace quincefall {

/// Follows one stream of the log page by page and reports whether the log service is reachable.
class log_follower
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        const log_client &log;
        std::string stream;
        std::function<std::uint64_t()> nextOffset; ///< Offset of the next read.
        /// Called with each page, also with truncated ones.
        std::function<void(const log_page &)> onPage;
        std::function<void(bool)> onReachable; ///< Called when reads start or cease to succeed.
    };

    static std::unique_ptr<log_follower> makeLogFollower(dependencies needs);
    ~log_follower();

    void start();
    void stop();

    /// Whether the last read succeeded.
    bool isReachable() const;

private:
    struct state;
    explicit log_follower(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
