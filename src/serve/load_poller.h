#pragma once

#include "kernel/address.h"
#include "policy/pool_types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quincefall {

class http_client;

/// An upstream whose load report is read.
struct polled_upstream
{
    std::string pool;
    std::string name;
    host_address address;
};

/// Reads the load reports of the upstreams whose pools this host owns. Reports lag, so they only
/// correct what the scheduler counts itself.
class load_poller
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        http_client &client;
        /// The upstreams to ask in the next round.
        std::function<std::vector<polled_upstream>()> upstreams;
        std::function<void(const std::string &pool, const load_report &)> onReport;
    };

    static std::unique_ptr<load_poller> makeLoadPoller(dependencies needs);
    ~load_poller();

    void start();
    void stop();

private:
    struct state;
    explicit load_poller(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

/// Reads the body of GET /load of @p upstream. Fails with messageInvalid.
result<load_report> parseLoadReport(std::string_view upstream, std::string_view body);

} // namespace quincefall
