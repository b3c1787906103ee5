#pragma once

#include "kernel/clock.h"
#include "ledger/lease_table.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace quincefall {

class log_client;
class timeline;

/// Tries to take one lease in the log's stream `leases`, and renews it while it holds it.
class lease_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        const log_client &log;
        timeline &events;
        clock_source clock;
        std::string lease;
        std::string hostName;
        std::uint64_t incarnation = 0;
        lease_timing timing;
    };

    static std::unique_ptr<lease_service> makeLeaseService(dependencies needs);
    ~lease_service();

    void start();
    void stop();

    /// Whether this process may act as the holder now. Must be checked right before each write.
    bool mayAct() const;

    /// The fencing number of this process's hold; 0 if it does not hold the lease.
    std::uint64_t fence() const;

    /// The state of the lease after the records read so far.
    lease_state leaseState() const;

    /// Stops acting as the holder at once and frees the lease with the next record.
    void giveUp();

private:
    struct state;
    explicit lease_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
