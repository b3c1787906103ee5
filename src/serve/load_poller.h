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

/// An upstream that the poller reads load reports from.
struct polled_upstream
{
    std::string pool;
    std::string name;
    host_address address;
    bool isEngine = false; ///< Also publishes cache events; plain services do not.
};

/// Polls the load reports and cache events of the upstreams in the pools that this host owns.
/// Reports lag behind, so the scheduler uses them only to correct its own counts; cache events are
/// hints.
class load_poller
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        http_client &client;
        /// Returns the upstreams to poll in the next round.
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

/// Parses the response body of GET /cache_events of @p upstream and sets @p next to the sequence
/// number from which the next poll must read. Fails with messageInvalid and leaves @p next as is.
result<std::vector<cache_event>> parseCacheEvents(std::string_view upstream, std::string_view body,
                                                  std::uint64_t &next);

/// Parses the response body of GET /load of @p upstream. Fails with messageInvalid.
result<load_report> parseLoadReport(std::string_view upstream, std::string_view body);

} // namespace quincefall
