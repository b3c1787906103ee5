#pragma once

#include "ledger/lease_candidate.h"

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace quincefall::testing {

/// How holders and engines guard against orders of an earlier holder.
struct order_guards
{
    bool engineChecks = true; ///< The engine refuses a lower fencing number.
    bool holderChecks = true; ///< The holder looks at its clock right before each order.
    bool newHolderWaits = true; ///< For ttl and the longest order before its first order.
};

struct lease_counts
{
    std::uint64_t holders = 0; ///< Takes that counted.
    std::uint64_t orders = 0; ///< Accepted by the engine.
    std::uint64_t refused = 0; ///< By its fencing number.
    std::uint64_t faults = 0; ///< Pauses, cuts from the log, lost and doubled appends.
    std::uint64_t twoHolders = 0; ///< Violation: instants at which two processes may act.
    std::uint64_t staleOrders = 0; ///< Accepted after an order of a later holder.
};

/// Hosts that compete for one lease over a fake log, and an engine that takes orders. Time runs in
/// ticks; hosts pause, also between the look at the clock and the order, and lose the log.
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
        lease_table book;
        lease_candidate self;
        bool hasLog = true;
        instant awakeAt;
        std::uint64_t writing = 0; ///< Fence of the order that was decided; 0: none.
        std::uint64_t actingFence = 0;
        instant actingSince;
    };

    struct append
    {
        std::string text;
        instant landsAt;
    };

    bool chance(int percent);
    int between(int lowest, int highest);
    void note(std::size_t index, const std::string &what);
    void harm(std::size_t index);
    void land();
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
    std::uint64_t m_engineFence = 0; ///< Highest of the orders accepted so far.
};

} // namespace quincefall::testing
