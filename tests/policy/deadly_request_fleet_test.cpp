#include "policy/crash_quarantine.h"
#include "policy/keepers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace quincefall {
namespace {

namespace data = boost::unit_test::data;

constexpr std::uint64_t deadlyId = 66;
constexpr milliseconds requestGap{240};
constexpr milliseconds runTime{60}; // Until the engine crashes.
constexpr seconds stableTime{4};
constexpr int requestCount = 250; // One minute.

/// Hosts that exchange what they know, over links that lose datagrams, and now and then start anew.
struct fleet
{
    fleet(unsigned hostCount, unsigned seed)
        : random(seed)
    {
        for (unsigned index = 0; index < hostCount; ++index)
            addHost();
    }

    void addHost()
    {
        const auto index = unsigned(addresses.size());
        addresses.push_back(
            {"10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200), 7});
        quarantines.emplace_back();
        for (unsigned other = 0; other <= index; ++other)
            all.hosts[addresses[other]] = {};
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < probability;
    }

    std::size_t draw()
    {
        return std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(random);
    }

    void deliver(std::size_t to, const std::vector<told_suspect> &told, instant now)
    {
        if (chance(lossRate))
            return;
        for (const told_suspect &suspect : told) {
            if (applySuspect(quarantines[to], suspect, now)
                && isKeeper(suspect.trait, all, addresses[to]))
                quarantines[to].news.insert(suspect.trait);
        }
        updateHeldTraits(quarantines[to], now);
    }

    /// Sends what host @p from has to tell at once, and what its listeners then have to tell.
    void tell(std::size_t from, instant now)
    {
        const auto forKeepers = takeKeeperNews(quarantines[from], now);
        std::vector<std::size_t> tellers{from};
        for (std::size_t to = 0; to < addresses.size() && !forKeepers.empty(); ++to) {
            if (to == from || !isKeeper(deadlyId, all, addresses[to]))
                continue;
            deliver(to, forKeepers, now);
            tellers.push_back(to);
        }
        for (const std::size_t teller : tellers) {
            const auto news = takeNews(quarantines[teller], now);
            for (std::size_t to = 0; to < addresses.size() && !news.empty(); ++to) {
                if (to != teller)
                    deliver(to, news, now);
            }
        }
    }

    /// Each host repeats what it holds to a few others, as many as its hints reach meanwhile.
    void sendHints(instant now)
    {
        for (std::size_t from = 0; from < addresses.size(); ++from) {
            const auto told = suspectsToTell(quarantines[from], now);
            for (int hint = 0; hint < hintsPerGap && !told.empty(); ++hint)
                deliver(draw(), told, now);
        }
    }

    std::mt19937 random;
    double lossRate = 0.1;
    int hintsPerGap = 5; // At 125 datagrams a second a host could send 30.
    std::vector<host_address> addresses;
    std::vector<crash_quarantine> quarantines;
    fleet_load all;
};

BOOST_AUTO_TEST_SUITE(deadly_request_fleet_tests)

BOOST_DATA_TEST_CASE(a_deadly_request_at_any_host_stops_past_restarts_losses_and_joins,
                     data::make(std::array{9U, 60U, 354U}) * data::xrange(5U), hostCount, seed)
{
    fleet hosts(hostCount, seed);
    const instant start = instant{} + seconds(1'000);
    const std::vector<request_trait> traits{{deadlyId, 0, true}};
    std::vector<instant> crashes;
    int late = 0;
    for (int request = 0; request < requestCount; ++request) {
        const instant now = start + requestGap * request;
        if (hosts.chance(0.05))
            hosts.quarantines[hosts.draw()] = {};
        if (hosts.chance(0.02))
            hosts.addHost();
        const std::size_t at = hosts.draw();
        const bool isHeld = findHeldTrait(hosts.quarantines[at], traits, hosts.addresses[at],
                                          hosts.addresses, now)
                                .has_value();
        if (!isHeld) {
            late += crashes.size() >= 3 && now > crashes[2] + stableTime ? 1 : 0;
            crashes.push_back(now + runTime);
            recordCrash(hosts.quarantines[at], {1'000 + crashes.size(), now, false}, traits,
                        now + runTime);
            updateHeldTraits(hosts.quarantines[at], now + runTime);
            hosts.tell(at, now + runTime);
        }
        hosts.sendHints(now + requestGap / 2);
    }
    BOOST_TEST(late <= 3);
    BOOST_TEST(crashes.size() < 10U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
