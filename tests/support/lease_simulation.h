#pragma once

#include "ledger/lease_candidate.h"

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace quincefall::testing {

/// Safeguards against orders of an earlier holder. Tests turn them off to verify which of them
/// prevent violations, and that the counters show violations without any.
struct order_guards
{
    bool engineChecks = true; ///< The engine rejects a lower fencing number.
    bool holderChecks = true; ///< The holder checks its lease right before each order.
    bool newHolderWaits = true; ///< Before its first order: for ttl + maxOrderDuration.
};

struct lease_counts
{
    std::uint64_t holders = 0; ///< Holds that began.
    std::uint64_t orders = 0; ///< Accepted by the engine.
    std::uint64_t refused = 0; ///< Rejected by the engine for a low fencing number.
    std::uint64_t faults = 0; ///< Pauses, log outages, lost and duplicated appends.
    std::uint64_t twoHolders = 0; ///< Violation: ticks in which two processes may act.
    std::uint64_t staleOrders = 0; ///< Violation: accepted after an order of a later holder.
};

/// Simulates hosts that compete for one lease over a log, and an engine that accepts their orders.
/// Time advances in ticks. Hosts pause, also between deciding on an order and sending it, and lose
/// the connection to the log.
class lease_simulation
{
public:
    explicit lease_simulation(std::uint64_t seed, order_guards guards = {});

    void run(int ticks);

    const lease_counts &counts() const { return m_counts; }
    const std::string &trace() const { return m_trace; }

private:
    static constexpr std::size_t hostCount = 3;

    struct host
    {
        lease_table table;
        lease_candidate self;
        bool isLogReachable = true;
        instant resumesAt;
        std::uint64_t pendingFence = 0; ///< Fence of the order to send next; 0: none.
        std::uint64_t actingFence = 0;
        instant actingSince;
    };

    struct append
    {
        std::string text;
        instant arrivesAt;
    };

    bool chance(int percent);
    int between(int lowest, int highest);
    void recordEvent(std::size_t index, const std::string &what);
    void injectFault(std::size_t index);
    void deliverAppends();
    void read(host &reader);
    void compete(std::size_t index);
    void decideOrder(host &holder);
    void sendOrder(std::size_t index);

    std::mt19937_64 m_random;
    order_guards m_guards;
    lease_counts m_counts;
    std::string m_trace;
    instant m_now{};
    std::array<host, hostCount> m_hosts;
    std::vector<std::string> m_log;
    std::vector<append> m_inFlight;
    std::uint64_t m_engineFence = 0; ///< Highest fence of the orders accepted so far.
};

} // namespace quincefall::testing
