#include "policy/rejection_guard.h"

#include "policy/fleet_load.h"
#include "policy/placement.h"
#include "policy/upstream_notice.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace quincefall {
namespace {

namespace data = boost::unit_test::data;

const instant start = instant{} + seconds(1'000);
constexpr milliseconds step{5};
constexpr milliseconds roundTrip{25};
constexpr milliseconds callTime{30};
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

/// One engine with few places, and hosts that all want to send to it.
struct engine_model
{
    explicit engine_model(std::size_t hosts, double maxRejections)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            others.push_back(othersOf(host, hosts));
            setMaxRejections(guards.emplace_back(), maxRejections);
            inFlight.push_back(0);
        }
    }

    void tryToSend(std::size_t host, instant now)
    {
        updateShare(guards[host], "e", slots, addressOf(host), others[host], now);
        if (timeUntilRoom(guards[host], inFlight[host], now) != microseconds(0))
            return;
        recordSent(guards[host], now);
        inFlight[host] += 1;
        onTheWay.push_back({host, now + roundTrip});
    }

    void advance(instant now, std::size_t places)
    {
        while (!running.empty() && running.front().arrives + callTime <= now) {
            const std::size_t host = running.front().host;
            running.pop_front();
            recordAccepted(guards[host]);
            inFlight[host] -= 1;
            ++served;
        }
        while (!onTheWay.empty() && onTheWay.front().arrives <= now) {
            const sent_request request = onTheWay.front();
            onTheWay.pop_front();
            if (running.size() < places) {
                running.push_back(request);
                continue;
            }
            inFlight[request.host] -= 1;
            recordRejected(guards[request.host], now);
            rejections.push_back(now);
        }
        while (!rejections.empty() && now - rejections.front() >= seconds(1))
            rejections.pop_front();
        mostRejections = std::max(mostRejections, rejections.size());
    }

    std::vector<fleet_load> others;
    std::vector<rejection_guard> guards;
    std::vector<double> inFlight;
    std::deque<sent_request> onTheWay;
    std::deque<sent_request> running;
    std::deque<instant> rejections;
    std::size_t mostRejections = 0;
    std::size_t served = 0;
};

BOOST_AUTO_TEST_SUITE(rejection_guard_tests)

BOOST_DATA_TEST_CASE(a_brittle_upstream_without_room_rejects_no_more_than_it_withstands,
                     data::make({1, 9, 82, 354}) * data::make({2.0, 5.0, 12.0, 60.0}), hosts,
                     maxRejections)
{
    engine_model engine(std::size_t(hosts), maxRejections);
    // All hosts always have a request for it. Its places vanish, return and vanish again.
    for (instant now = start; now < start + seconds(12); now += step) {
        const auto second = (now - start) / seconds(1);
        for (std::size_t host = 0; host < engine.guards.size(); ++host)
            engine.tryToSend(host, now);
        engine.advance(now, second % 4 < 2 ? slots : 0);
    }
    BOOST_TEST(double(engine.mostRejections) <= maxRejections);
}

BOOST_DATA_TEST_CASE(a_brittle_upstream_with_room_is_used, data::make({1, 9, 82, 354}), hosts)
{
    engine_model engine(std::size_t(hosts), 12);
    for (instant now = start; now < start + seconds(4); now += step) {
        for (std::size_t host = 0; host < engine.guards.size(); ++host)
            engine.tryToSend(host, now);
        engine.advance(now, slots);
    }
    // A request takes a round trip and its call; few hosts may have one on the way each.
    const double perHost = 4'000.0 / toMilliseconds(roundTrip + callTime);
    BOOST_TEST(double(engine.served) > 0.7 * perHost * std::min(hosts, 6));
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
