#include "policy/request_limit.h"

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
constexpr milliseconds window{4'000};
constexpr milliseconds step{20};

upstream_entry makeEntry()
{
    upstream_entry entry;
    entry.id = "e";
    entry.service = "engines";
    entry.started = 100;
    return entry;
}

std::vector<fleet_load> makeHosts(std::size_t count)
{
    std::vector<fleet_load> hosts(count);
    for (std::size_t own = 0; own < count; ++own) {
        for (std::size_t other = 0; other < count; ++other) {
            if (other != own)
                hosts[own].hosts[{"10.0.0." + std::to_string(other), 1}].received = start;
        }
    }
    return hosts;
}

BOOST_AUTO_TEST_SUITE(request_limit_tests)

BOOST_DATA_TEST_CASE(all_hosts_together_keep_within_the_limit_under_any_demand,
                     data::make({1, 2, 9, 60, 354}) * data::make({0.3, 1.1, 3.5, 40.0}), hostCount,
                     limit)
{
    const auto hosts = makeHosts(std::size_t(hostCount));
    std::vector<limit_bucket> buckets(hosts.size());
    for (limit_bucket &bucket : buckets)
        setLimit(bucket, limit, start);
    std::deque<instant> arrivals;
    std::size_t total = 0;
    std::size_t most = 0;
    // A quiet time, in which parts are saved up, then more demand than the limit at all hosts.
    for (instant now = start; now < start + seconds(30); now += step) {
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            const host_address self{"10.0.0." + std::to_string(host), 1};
            updateShare(buckets[host], "e", self, hosts[host], now);
            if (now < start + seconds(10) || timeUntilRoom(buckets[host], now) != microseconds(0))
                continue;
            takeRequest(buckets[host], now);
            arrivals.push_back(now);
            ++total;
        }
        while (!arrivals.empty() && now - arrivals.front() >= window)
            arrivals.pop_front();
        most = std::max(most, arrivals.size());
    }
    BOOST_TEST(double(most) <= 1.5 * limit * 4 + 5);
    BOOST_TEST(double(total) >= 0.6 * limit * 20 - 1);
}

BOOST_AUTO_TEST_CASE(a_limit_binds_hosts_that_were_told_of_it_and_ends_for_them)
{
    upstream_notices own;
    upstream_notices other;
    const auto tell = [&](instant now) {
        for (const told_notice &told : noticesToTell(own, now)) {
            if (told.limitAge)
                recordLimit(other, makeEntry(), {told.limit, now - *told.limitAge},
                            notice_source::otherHost, now);
        }
    };
    BOOST_TEST(recordLimit(own, makeEntry(), {3.5, start}, notice_source::ownAnswer, start));
    tell(start);
    BOOST_TEST((other.at("e").limit.perSecond == std::optional(3.5)));
    // An answer that was given before the limit was named arrives after it.
    const instant soon = start + milliseconds(100);
    BOOST_TEST(!recordLimit(own, makeEntry(), {{}, soon}, notice_source::ownAnswer, soon));
    BOOST_TEST((own.at("e").limit.perSecond == std::optional(3.5)));
    const instant later = start + seconds(5);
    BOOST_TEST(recordLimit(own, makeEntry(), {{}, later}, notice_source::ownAnswer, later));
    tell(later);
    BOOST_TEST(!other.at("e").limit.perSecond);
}

BOOST_AUTO_TEST_CASE(a_limit_outlives_a_lapsed_registration_but_not_a_restart)
{
    upstream_notices notices;
    recordLimit(notices, makeEntry(), {2, start}, notice_source::ownAnswer, start);
    applyRegistration(notices, makeEntry());
    BOOST_TEST_REQUIRE(findNotice(notices, makeEntry()));
    BOOST_TEST((findNotice(notices, makeEntry())->limit.perSecond == std::optional(2.0)));
    upstream_entry restarted = makeEntry();
    restarted.started = 200;
    applyRegistration(notices, restarted);
    BOOST_TEST(!findNotice(notices, restarted));
}

BOOST_AUTO_TEST_CASE(requests_go_elsewhere_or_are_told_when_a_limited_upstream_has_room)
{
    service_pool pool;
    pool.upstreams["a"].listed = makeEntry();
    fleet_load others;
    setLimit(pool.upstreams["a"].limit, 2, start);
    placement_request request;
    request.probe.isRetryable = true;
    placement_site site;
    site.self = {"10.0.0.1", 1};
    BOOST_TEST(!chooseUpstream(pool, request, site, others, start).upstream);
    const auto wait = timeUntilUsable(pool, start);
    BOOST_TEST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait > milliseconds(400) && *wait < milliseconds(1'000)));
    const instant later = start + *wait;
    BOOST_TEST(chooseUpstream(pool, request, site, others, later).upstream);
    recordStart(pool, pool.upstreams["a"], {}, {}, later);
    BOOST_TEST(!chooseUpstream(pool, request, site, others, later).upstream);
    pool.upstreams["b"].listed = makeEntry();
    pool.upstreams["b"].listed.id = "b";
    BOOST_TEST(chooseUpstream(pool, request, site, others, later).upstream->listed.id == "b");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
