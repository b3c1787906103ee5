#pragma once

#include "kernel/address.h"
#include "policy/pool_types.h"
#include "policy/prefix_affinity.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
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
    bool isEngine = false; ///< Publishes cache events; a plain service is asked for its load only.
};

/// Reads the load reports and cache events of the upstreams whose pools this host owns. Reports
/// lag, so they only correct what the scheduler counts itself; cache events are hints.
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
        std::function<void(const std::string &pool, const cache_event &)> onCacheEvent;
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

/// Reads the body of GET /cache_events of @p upstream; @p next becomes the sequence number to ask
/// from the next time. Fails with messageInvalid.
result<std::vector<cache_event>> parseCacheEvents(std::string_view upstream, std::string_view body,
                                                  std::uint64_t &next);

/// Reads the body of GET /load of @p upstream. Fails with messageInvalid.
result<load_report> parseLoadReport(std::string_view upstream, std::string_view body);

} // namespace quincefall
