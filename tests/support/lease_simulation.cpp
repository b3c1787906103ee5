#include "support/lease_simulation.h"

#include <algorithm>

namespace quincefall::testing {
namespace {

constexpr milliseconds tickTime{50};
constexpr milliseconds longestOrder{400};
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

void lease_simulation::note(std::size_t index, const std::string &what)
{
    m_trace += std::to_string(m_now.time_since_epoch() / milliseconds(1)) + " h"
        + std::to_string(index) + " " + what + "\n";
}

void lease_simulation::run(int ticks)
{
    for (int count = 0; count < ticks; ++count) {
        m_now += tickTime;
        land();
        for (std::size_t index = 0; index < hostCount; ++index) {
            if (chance(2))
                harm(index);
            if (m_now < m_hosts[index].awakeAt)
                continue;
            // An order that was decided before a pause goes out first.
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

void lease_simulation::harm(std::size_t index)
{
    host &victim = m_hosts[index];
    ++m_counts.faults;
    if (chance(50)) {
        victim.awakeAt = m_now + milliseconds(between(100, 12'000));
        note(index, "pauses");
    } else {
        victim.hasLog = !victim.hasLog;
        note(index, victim.hasLog ? "has-log" : "loses-log");
    }
}

void lease_simulation::land()
{
    for (std::size_t index = 0; index < m_inFlight.size();) {
        if (m_inFlight[index].landsAt > m_now) {
            ++index;
            continue;
        }
        m_log.push_back(m_inFlight[index].text);
        const bool isDoubled = chance(10);
        m_counts.faults += isDoubled ? 1 : 0;
        if (isDoubled)
            m_inFlight[index].landsAt = m_now + milliseconds(between(50, 8'000));
        else
            m_inFlight.erase(m_inFlight.begin() + std::ptrdiff_t(index));
    }
}

void lease_simulation::read(host &reader)
{
    if (!reader.hasLog || chance(20))
        return;
    while (reader.book.next < m_log.size()) {
        const std::uint64_t offset = reader.book.next;
        const auto counted = applyLeaseRecord(reader.book, offset, m_log[offset]);
        if (counted)
            handleAppliedRecord(reader.self, *counted, offset);
    }
    watchLease(reader.self.watch, leaseOf(reader.book, leaseName), m_now);
}

void lease_simulation::compete(std::size_t index)
{
    host &competitor = m_hosts[index];
    const auto entry = nextLeaseEntry(competitor.self, competitor.book, m_now);
    if (!entry)
        return;
    if (!competitor.hasLog || chance(10)) {
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
        || m_now >= holder.actingSince + holder.self.rules.ttl + longestOrder;
    if (fence != 0 && isSettled && chance(20))
        holder.writing = fence;
}

void lease_simulation::sendOrder(std::size_t index)
{
    host &holder = m_hosts[index];
    const std::uint64_t fence = holder.writing;
    holder.writing = 0;
    // Pauses fall between the decision and this look at the clock, not after it.
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
        note(index, "stale order " + std::to_string(fence));
    } else if (fence > m_engineFence) {
        note(index, "first order " + std::to_string(fence));
    }
    m_engineFence = std::max(m_engineFence, fence);
}

} // namespace quincefall::testing
