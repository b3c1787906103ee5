#include "policy/rejection_guard.h"

#include "policy/fleet_load.h"
#include "policy/placement.h"
#include "policy/upstream_notice.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

namespace quincefall {
namespace {

namespace data = boost::unit_test::data;

const instant start = instant{} + seconds(1'000);
constexpr milliseconds step{5};
constexpr milliseconds roundTrip{25};
constexpr milliseconds callTime{30};
constexpr milliseconds downTime{3'000};
constexpr milliseconds minNewsDelay{200}; // As in route/load_exchange.
constexpr int newsPerHint = 4;
constexpr unsigned slots = 16;

host_address addressOf(std::size_t host)
{
    return {"10.0.0." + std::to_string(host), 1};
}

fleet_load othersOf(std::size_t own, std::size_t count)
{
    fleet_load others;
    for (std::size_t other = 0; other < count; ++other) {
        if (other != own)
            others.hosts[addressOf(other)].received = start;
    }
    return others;
}

/// A request at the engine, or on its way there.
struct sent_request
{
    std::size_t host = 0;
    instant arrives;
};

/// One brittle engine that lets nobody wait, and hosts that send to it. Hosts hear of each other's
/// requests and rejections as often as hints come.
struct engine_model
{
    engine_model(std::size_t hosts, double withstands)
        : maxRejections(withstands)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            others.push_back(othersOf(host, hosts));
            setMaxRejections(guards.emplace_back(), maxRejections);
            guards.back().slots = slots;
            inFlight.push_back(0);
        }
    }

    void hearHints(instant now)
    {
        if (now < hintsAt)
            return;
        hintsAt = now + hintInterval(unsigned(guards.size()));
        hintedLoad = 0;
        for (const double count : inFlight)
            hintedLoad += count;
    }

    void hearNews(instant now)
    {
        if (now < newsAt)
            return;
        newsAt = instant::max();
        for (rejection_guard &guard : guards)
            guard.rejectionHeardAt = now;
    }

    void tryToSend(std::size_t host, instant now)
    {
        rejection_guard &guard = guards[host];
        guard.load = std::max(inFlight[host], hintedLoad);
        const auto turn = std::uint64_t((now - start) / rejectionTurn);
        updateShare(guard, "e", turn, addressOf(host), others[host], now);
        if (timeUntilRoom(guard, inFlight[host], now).count() > 0)
            return;
        recordSent(guard, now);
        inFlight[host] += 1;
        onTheWay.push_back({host, now + roundTrip});
    }

    void reject(const sent_request &request, instant now)
    {
        inFlight[request.host] -= 1;
        recordRejected(guards[request.host], now);
        const milliseconds interval = hintInterval(unsigned(guards.size()));
        newsAt = std::min<instant>(newsAt, now + std::max(minNewsDelay, interval / newsPerHint));
        rejections.push_back(now);
        if (double(rejections.size()) <= maxRejections)
            return;
        ++falls;
        rejections.clear();
        downUntil = now + downTime;
    }

    void advance(instant now)
    {
        while (!running.empty() && running.front().arrives + callTime <= now) {
            const std::size_t host = running.front().host;
            running.pop_front();
            recordAccepted(guards[host]);
            inFlight[host] -= 1;
            served.insert(host);
        }
        while (!onTheWay.empty() && onTheWay.front().arrives <= now) {
            const sent_request request = onTheWay.front();
            onTheWay.pop_front();
            if (now < downUntil)
                inFlight[request.host] -= 1;
            else if (running.size() < slots)
                running.push_back(request);
            else
                reject(request, now);
        }
        while (!rejections.empty() && now - rejections.front() >= seconds(1))
            rejections.pop_front();
        hearHints(now);
        hearNews(now);
    }

    double maxRejections;
    std::vector<fleet_load> others;
    std::vector<rejection_guard> guards;
    std::vector<double> inFlight;
    double hintedLoad = 0;
    instant hintsAt = start;
    std::deque<sent_request> onTheWay;
    std::deque<sent_request> running;
    std::deque<instant> rejections;
    instant newsAt = instant::max();
    instant downUntil = start;
    int falls = 0;
    std::set<std::size_t> served; ///< Hosts.
};

BOOST_AUTO_TEST_SUITE(rejection_guard_tests)

BOOST_DATA_TEST_CASE(a_brittle_upstream_under_a_storm_from_all_hosts_does_not_fall_again_and_again,
                     data::make({1, 9, 82, 354}) * data::make({2.0, 5.0, 12.0, 60.0}), hosts,
                     maxRejections)
{
    engine_model engine(std::size_t(hosts), maxRejections);
    // Quiet, then all hosts always have a request for it.
    for (instant now = start; now < start + seconds(25); now += step) {
        for (std::size_t host = 0; host < engine.guards.size(); ++host) {
            if (now > start + seconds(3))
                engine.tryToSend(host, now);
        }
        engine.advance(now);
    }
    BOOST_TEST(engine.falls <= 2);
}

BOOST_DATA_TEST_CASE(every_host_uses_a_brittle_upstream_that_has_room, data::make({1, 9, 82, 354}),
                     hosts)
{
    engine_model engine(std::size_t(hosts), 2);
    std::size_t turns = 0;
    for (instant now = start; now < start + seconds(10); now += step) {
        engine.tryToSend(turns++ % engine.guards.size(), now);
        engine.advance(now);
    }
    BOOST_TEST(engine.served.size() == engine.guards.size());
    BOOST_TEST(engine.falls == 0);
}

BOOST_AUTO_TEST_CASE(after_a_rejection_hosts_take_turns_at_a_brittle_upstream)
{
    engine_model engine(9, 2);
    for (rejection_guard &guard : engine.guards)
        guard.rejectionHeardAt = start;
    for (instant now = start; now < start + seconds(28); now += step) {
        for (std::size_t host = 0; host < engine.guards.size(); ++host)
            engine.tryToSend(host, now);
        engine.advance(now);
    }
    BOOST_TEST(engine.served.size() > 6U);
    BOOST_TEST(engine.falls == 0);
}

BOOST_AUTO_TEST_CASE(hosts_that_send_nothing_to_a_brittle_upstream_hear_of_it_and_of_its_end)
{
    upstream_entry entry;
    entry.id = "e";
    entry.started = 100;
    upstream_notices own;
    upstream_notices other;
    const auto tell = [&](instant now) {
        for (const told_notice &told : noticesToTell(own, now)) {
            if (told.maxRejectionsAge)
                recordMaxRejections(other, entry,
                                    {told.maxRejections, now - *told.maxRejectionsAge},
                                    notice_source::otherHost, now);
        }
    };
    BOOST_TEST(recordMaxRejections(own, entry, {5, start}, notice_source::ownAnswer, start));
    tell(start);
    BOOST_TEST((other.at("e").maxRejections.perSecond == std::optional(5.0)));
    BOOST_TEST(!other.at("e").limit.perSecond);
    const instant later = start + seconds(5);
    BOOST_TEST(recordMaxRejections(own, entry, {{}, later}, notice_source::ownAnswer, later));
    tell(later);
    BOOST_TEST(!other.at("e").maxRejections.perSecond);
}

BOOST_AUTO_TEST_CASE(hosts_that_heard_of_one_brittle_upstream_spare_all_of_its_service)
{
    service_pool pool;
    for (const char *id : {"a", "b"}) {
        pool.upstreams[id].listed.id = id;
        pool.upstreams[id].listed.slots = slots;
    }
    pool.upstreams["a"].maxRejections = 2;
    fleet_load others;
    placement_request request;
    placement_site site;
    site.self = addressOf(0);
    for (const char *id : {"a", "b"})
        pool.upstreams[id].rejections.rejectionHeardAt = start;
    for (int sent = 0; sent < 2; ++sent) {
        const placement chosen = chooseUpstream(pool, request, site, others, start);
        BOOST_TEST_REQUIRE(chosen.upstream);
        recordStart(pool, *chosen.upstream, {}, {}, start);
    }
    BOOST_TEST(!chooseUpstream(pool, request, site, others, start).upstream);
    BOOST_TEST((timeUntilUsable(pool, start) == microseconds(milliseconds(20))));
    pool.upstreams["a"].maxRejections.reset();
    BOOST_TEST(chooseUpstream(pool, request, site, others, start).upstream);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
