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

/// Owns the queues of pools: decides which waiting request may use which upstream, for all hosts
/// of the fleet. Any host can own any pool; two owners for a moment do no harm but some overload.
class queue_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        timeline &events;
        clock_source clock;
        std::uint64_t firstPermitNumber
            = 1; ///< Different on each host, so that permits are unique.
    };

    static std::unique_ptr<queue_service> makeQueueService(dependencies needs);
    ~queue_service();

    /// Answers peers and lets time pass in the queues.
    void start();
    void stop();

    /// Sets the plan of @p pool.
    void configurePool(const std::string &pool, pool_plan plan);

    /// Pools that are no longer declared are dropped; their waiting requests are refused.
    void retainPools(const std::vector<std::string> &pools);

    void reportLoad(const std::string &pool, const load_report &report);

    /// Takes in a hint about the prefixes that an upstream of @p pool has cached.
    void applyCacheEvent(const std::string &pool, const cache_event &event);

    /// Drops what a dead entry host had waiting or running.
    void dropEntryHost(std::string_view host);

    /// Sends the waiting requests of pools that @p isOwned denies back to their entry hosts, which
    /// ask the new owner.
    void handOver(const std::function<bool(std::string_view pool)> &isOwned);

    /// The queue of @p pool, or null.
    const pool_state *find(std::string_view pool) const;

private:
    struct state;
    explicit queue_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
