#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/pool_scheduler.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

class peer_mesh;
class timeline;

/// Owns the queues of pools and decides, for all hosts of the fleet, which waiting request may use
/// which upstream. Any host can own any pool. If a pool has two owners for a short time, the only
/// effect is some overload of its upstreams.
class queue_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        timeline &events;
        clock_source clock;
        std::uint64_t firstPermitNumber = 1; ///< Differs per host, to keep permit numbers unique.
    };

    static std::unique_ptr<queue_service> makeQueueService(dependencies needs);
    ~queue_service();

    /// Registers the handlers for peers and starts the periodic advance of the queues.
    void start();
    void stop();

    /// Creates the queue of @p pool if needed, and sets its plan.
    void configurePool(const std::string &pool, pool_plan plan);

    /// Drops the queues of pools that are not in @p pools. Their waiting requests are rejected.
    void retainPools(const std::vector<std::string> &pools);

    /// Passes the load report of an upstream of @p pool to the scheduler.
    void reportLoad(const std::string &pool, const load_report &report);

    /// Passes a hint about a prefix cached on an upstream of @p pool to the scheduler.
    void applyCacheEvent(const std::string &pool, const cache_event &event);

    /// Drops the waiting requests and running attempts of a dead entry host.
    void dropEntryHost(std::string_view host);

    /// Rejects the waiting requests of pools for which @p isOwned returns false; their entry hosts
    /// then ask the new owner.
    void handOver(const std::function<bool(std::string_view pool)> &isOwned);

    /// Returns the queue of @p pool, or null.
    const pool_state *find(std::string_view pool) const;

private:
    struct state;
    explicit queue_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
