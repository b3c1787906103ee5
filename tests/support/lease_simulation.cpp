#include "support/lease_simulation.h"

#include <algorithm>

namespace quincefall::testing {
namespace {

constexpr milliseconds tickLength{50};
constexpr milliseconds maxOrderDuration{400};
constexpr const char *leaseName = "orders";

} // namespace

lease_simulation::lease_simulation(std::uint64_t seed, order_guards guards)
    : m_random(seed)
    , m_guards(guards)
{
    for (std::size_t index = 0; index < hostCount; ++index) {
        m_hosts[index].self.lease = leaseName;
        m_hosts[index].self.host = "h" + std::to_string(index);
        m_hosts[index].self.incarnation = index + 1;
    }
}

bool lease_simulation::chance(int percent)
{
    return between(0, 99) < percent;
}

int lease_simulation::between(int lowest, int highest)
{
    return std::uniform_int_distribution<int>(lowest, highest)(m_random);
}

void lease_simulation::recordEvent(std::size_t index, const std::string &what)
{
    m_trace += std::to_string(m_now.time_since_epoch() / milliseconds(1)) + " h"
        + std::to_string(index) + " " + what + "\n";
}

void lease_simulation::run(int ticks)
{
    for (int count = 0; count < ticks; ++count) {
        m_now += tickLength;
        deliverAppends();
        for (std::size_t index = 0; index < hostCount; ++index) {
            if (chance(2))
                injectFault(index);
            if (m_now < m_hosts[index].resumesAt)
                continue;
            // After a pause, an order that was decided before it is sent first.
            sendOrder(index);
            read(m_hosts[index]);
            compete(index);
            decideOrder(m_hosts[index]);
        }
        const auto acting = std::count_if(m_hosts.begin(), m_hosts.end(), [this](const host &one) {
            return mayAct(one.self, m_now);
        });
        m_counts.twoHolders += acting > 1 ? 1 : 0;
    }
}

void lease_simulation::injectFault(std::size_t index)
{
    host &disrupted = m_hosts[index];
    ++m_counts.faults;
    if (chance(50)) {
        disrupted.resumesAt = m_now + milliseconds(between(100, 12'000));
        recordEvent(index, "pauses");
    } else {
        disrupted.isLogReachable = !disrupted.isLogReachable;
        recordEvent(index, disrupted.isLogReachable ? "has-log" : "loses-log");
    }
}

void lease_simulation::deliverAppends()
{
    for (std::size_t index = 0; index < m_inFlight.size();) {
        if (m_inFlight[index].arrivesAt > m_now) {
            ++index;
            continue;
        }
        m_log.push_back(m_inFlight[index].text);
        const bool isDuplicated = chance(10);
        m_counts.faults += isDuplicated ? 1 : 0;
        if (isDuplicated)
            m_inFlight[index].arrivesAt = m_now + milliseconds(between(50, 8'000));
        else
            m_inFlight.erase(m_inFlight.begin() + std::ptrdiff_t(index));
    }
}

void lease_simulation::read(host &reader)
{
    if (!reader.isLogReachable || chance(20))
        return;
    while (reader.table.next < m_log.size()) {
        const std::uint64_t offset = reader.table.next;
        const auto counted = applyLeaseRecord(reader.table, offset, m_log[offset]);
        if (counted)
            handleAppliedRecord(reader.self, *counted, offset);
    }
    watchLease(reader.self.watch, leaseOf(reader.table, leaseName), m_now);
}

void lease_simulation::compete(std::size_t index)
{
    host &competitor = m_hosts[index];
    const auto entry = nextLeaseEntry(competitor.self, competitor.table, m_now);
    if (!entry)
        return;
    if (!competitor.isLogReachable || chance(10)) {
        ++m_counts.faults;
        return;
    }
    const int longest = chance(10) ? 6'000 : 200;
    m_inFlight.push_back({encodeLease(*entry), m_now + milliseconds(between(0, longest))});
}

void lease_simulation::decideOrder(host &holder)
{
    const std::uint64_t fence = holder.self.hold.fence;
    if (fence != holder.actingFence) {
        holder.actingFence = fence;
        holder.actingSince = m_now;
        m_counts.holders += fence != 0 ? 1 : 0;
    }
    const bool isSettled = !m_guards.newHolderWaits
        || m_now >= holder.actingSince + holder.self.timing.ttl + maxOrderDuration;
    if (fence != 0 && isSettled && chance(20))
        holder.pendingFence = fence;
}

void lease_simulation::sendOrder(std::size_t index)
{
    host &holder = m_hosts[index];
    const std::uint64_t fence = holder.pendingFence;
    holder.pendingFence = 0;
    // A pause can occur between the decision and this check, but not between check and order.
    if (fence == 0 || (m_guards.holderChecks && !mayAct(holder.self, m_now)))
        return;
    if (m_guards.engineChecks && fence < m_engineFence) {
        ++m_counts.refused;
        giveUp(holder.self);
        return;
    }
    ++m_counts.orders;
    if (fence < m_engineFence) {
        ++m_counts.staleOrders;
        recordEvent(index, "stale order " + std::to_string(fence));
    } else if (fence > m_engineFence) {
        recordEvent(index, "first order " + std::to_string(fence));
    }
    m_engineFence = std::max(m_engineFence, fence);
}

} // namespace quincefall::testing
