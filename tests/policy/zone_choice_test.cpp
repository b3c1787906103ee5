#include "policy/zone_choice.h"

#include "policy/link_budget.h"
#include "policy/placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

namespace quincefall {
namespace {

constexpr unsigned domainCount = 6;
constexpr double engineCount = 15; // Of a domain.
constexpr double serviceMs = 40; // Without a queue.
constexpr double stepMs = 10;
constexpr double idleMs = 60;
const std::array<std::string, domainCount> domainNames{"a", "b", "c", "d", "e", "f"};

zone_distance distanceOf(unsigned from, unsigned to)
{
    if (from == to)
        return zone_distance::home;
    return from / 3 == to / 3 ? zone_distance::region : zone_distance::far;
}

instant at(double ms)
{
    return instant(microseconds(std::int64_t(ms * 1000)));
}

/// Requests of one domain over some time, by where they ran.
struct tally
{
    std::array<double, domainCount> sent{};

    double total() const
    {
        double sum = 0;
        for (const double part : sent)
            sum += part;
        return sum;
    }
    double leavingShare(unsigned home) const { return 1 - sent.at(home) / total(); }
};

/// Failure domains with one queue each, in virtual time. Hosts know all queues as they were at the
/// last hints.
class fleet_model
{
public:
    std::array<double, domainCount> perSecond{}; ///< Requests that arrive.
    std::array<double, domainCount> capacity{}; ///< Requests a second; 0: all engines are lost.
    double hintMs = 500;
    double bytes = 10'000;
    double objectiveMs = 0;
    transfer_terms terms;

    fleet_model()
    {
        capacity.fill(1'000);
        perSecond.fill(500);
    }

    /// Runs until @p untilMs and returns what the requests of @p watched did.
    tally run(double untilMs, unsigned watched)
    {
        tally seen;
        for (; m_nowMs < untilMs; m_nowMs += stepMs) {
            if (m_nowMs >= m_nextHintMs) {
                m_known = m_queueMs;
                m_nextHintMs = m_nowMs + hintMs;
            }
            std::array<double, domainCount> arrivals{};
            for (unsigned home = 0; home < domainCount; ++home)
                place(home, arrivals, home == watched ? &seen : nullptr);
            for (unsigned domain = 0; domain < domainCount; ++domain)
                drain(domain, arrivals.at(domain));
        }
        return seen;
    }

    double queueMs(unsigned domain) const { return m_queueMs.at(domain); }
    double peakMs(unsigned domain) const { return m_peakMs.at(domain); }
    double idleShare(unsigned domain) const { return m_idleMs.at(domain) / m_nowMs; }
    void forgetPeaks() { m_peakMs = m_queueMs; }
    double farBytes() const { return m_farBytes; }

private:
    std::vector<zone_offer> offersTo(unsigned home) const
    {
        std::vector<zone_offer> offers;
        for (unsigned domain = 0; domain < domainCount; ++domain) {
            if (capacity.at(domain) <= 0)
                continue;
            zone_offer offer;
            offer.failureDomain = domainNames.at(domain);
            offer.distance = distanceOf(home, domain);
            offer.delayMs = m_known.at(domain);
            offer.costMs = serviceMs + offer.delayMs;
            offer.transferMs = transferCostMs(terms, offer.distance, bytes)
                + (offer.distance == zone_distance::far ? 45 : 5) * double(home != domain);
            offer.room = offer.delayMs < idleMs ? engineCount : 0;
            offers.push_back(offer);
        }
        return offers;
    }

    void place(unsigned home, std::array<double, domainCount> &arrivals, tally *seen)
    {
        const std::vector<zone_offer> offers = offersTo(home);
        m_due.at(home) += perSecond.at(home) * stepMs / 1000;
        for (; m_due.at(home) >= 1; m_due.at(home) -= 1) {
            zone_view view;
            view.terms = terms;
            view.bytes = bytes;
            view.hintAgeMs = hintMs / 2;
            view.objectiveMs = objectiveMs;
            view.request = ++m_request;
            m_link.bytesPerSecond = terms.regionLinkMbps * 125'000;
            view.hasLinkRoom = mayUseLink(m_link, false, at(m_nowMs));
            const zone_decision decision = chooseZone(offers, view, 0);
            const std::string_view name = offers.at(decision.offer).failureDomain;
            const auto domain = unsigned(name.front() - 'a');
            arrivals.at(domain) += 1;
            if (seen)
                seen->sent.at(domain) += 1;
            if (offers.at(decision.offer).distance == zone_distance::far) {
                chargeLink(m_link, bytes);
                m_farBytes += bytes;
            }
        }
    }

    void drain(unsigned domain, double arrivals)
    {
        double &queue = m_queueMs.at(domain);
        if (capacity.at(domain) <= 0) {
            queue = 0;
            return;
        }
        queue += arrivals / capacity.at(domain) * 1000 - stepMs;
        m_idleMs.at(domain) += queue < 0 ? -queue : 0;
        queue = std::max(0.0, queue);
        m_peakMs.at(domain) = std::max(m_peakMs.at(domain), queue);
    }

    double m_nowMs = 0;
    double m_nextHintMs = 0;
    double m_farBytes = 0;
    std::uint64_t m_request = 0;
    std::array<double, domainCount> m_due{};
    std::array<double, domainCount> m_known{};
    std::array<double, domainCount> m_queueMs{};
    std::array<double, domainCount> m_peakMs{};
    std::array<double, domainCount> m_idleMs{};
    link_budget m_link;
};

zone_offer offerOf(std::string_view name, zone_distance distance, double costMs, double delayMs)
{
    const double transferMs = distance == zone_distance::home ? 0 : 35;
    return {name, distance, costMs, delayMs, transferMs, engineCount};
}

/// A pool of @p perDomain engines in each of the six domains.
service_pool makePool(unsigned perDomain)
{
    service_pool pool;
    for (unsigned index = 0; index < perDomain * domainCount; ++index) {
        const std::string id = "engine-" + std::to_string(index);
        upstream_entry &listed = pool.upstreams[id].listed;
        listed.id = id;
        listed.service = "engines";
        listed.slots = 64;
        listed.failureDomain = domainNames.at(index % domainCount);
        listed.region = index % domainCount < 3 ? "north" : "south";
    }
    pool.prefillTokensPerMs = 64;
    return pool;
}

placement_site siteOf(unsigned domain)
{
    placement_site site;
    site.failureDomain = domainNames.at(domain);
    site.region = domain < 3 ? "north" : "south";
    for (unsigned index = 0; index < domainCount; ++index)
        site.regions[domainNames.at(index)] = index < 3 ? "north" : "south";
    return site;
}

BOOST_AUTO_TEST_SUITE(zone_choice_tests)

BOOST_AUTO_TEST_CASE(nothing_leaves_a_home_with_room)
{
    fleet_model fleet;
    BOOST_TEST(fleet.run(10'000, 0).leavingShare(0) == 0);
}

BOOST_AUTO_TEST_CASE(the_excess_leaves_a_full_home)
{
    fleet_model fleet;
    fleet.perSecond[0] = 1'500;
    fleet.run(5'000, 0);
    fleet.forgetPeaks();
    const tally seen = fleet.run(25'000, 0);
    // A third of its requests is more than its engines can take.
    BOOST_TEST(seen.leavingShare(0) > 0.30);
    BOOST_TEST(seen.leavingShare(0) < 0.40);
    BOOST_TEST(seen.sent[3] + seen.sent[4] + seen.sent[5] < 0.05 * seen.total());
    BOOST_TEST(fleet.peakMs(0) < 500);
    BOOST_TEST(fleet.queueMs(1) == 0);
    BOOST_TEST(fleet.queueMs(2) == 0);
}

BOOST_AUTO_TEST_CASE(requests_return_as_soon_as_home_has_room)
{
    fleet_model fleet;
    fleet.perSecond[0] = 1'500;
    fleet.run(10'000, 0);
    fleet.perSecond[0] = 500;
    // The queue drains, and the next hints say so.
    fleet.run(10'000 + 2 * fleet.hintMs, 0);
    BOOST_TEST(fleet.run(20'000, 0).leavingShare(0) == 0);
}

BOOST_AUTO_TEST_CASE(a_domain_that_loses_most_engines_sends_most_requests_away)
{
    fleet_model fleet;
    fleet.perSecond[0] = 900;
    fleet.run(5'000, 0);
    fleet.capacity[0] = 150;
    fleet.run(7'000, 0);
    fleet.forgetPeaks();
    const tally seen = fleet.run(20'000, 0);
    BOOST_TEST(seen.leavingShare(0) > 0.75);
    // Evenly to the other domains of the region, which have room for it.
    BOOST_TEST(std::abs(seen.sent[1] - seen.sent[2]) < 0.1 * seen.total());
    BOOST_TEST(fleet.peakMs(1) < 100);
    BOOST_TEST(fleet.peakMs(2) < 100);
}

BOOST_AUTO_TEST_CASE(hosts_of_a_lost_domain_do_not_all_choose_the_same_neighbour)
{
    fleet_model fleet;
    fleet.hintMs = 2'000;
    fleet.perSecond[0] = 900;
    fleet.capacity[0] = 0;
    const tally seen = fleet.run(2'000, 0); // Before the first news of where it goes.
    BOOST_TEST(seen.leavingShare(0) == 1);
    BOOST_TEST(*std::max_element(seen.sent.begin(), seen.sent.end()) < 0.55 * seen.total());
    fleet.run(20'000, 0);
    for (unsigned domain = 1; domain < domainCount; ++domain)
        BOOST_TEST(fleet.peakMs(domain) < 300, domainNames.at(domain));
}

BOOST_AUTO_TEST_CASE(old_hints_do_not_make_the_fleet_swing)
{
    fleet_model fleet;
    fleet.hintMs = 3'000;
    fleet.perSecond[0] = 1'300;
    fleet.run(20'000, 0);
    fleet.forgetPeaks();
    double least = 1;
    double most = 0;
    for (double ms = 23'000; ms <= 50'000; ms += 3'000) {
        const double share = fleet.run(ms, 0).leavingShare(0);
        least = std::min(least, share);
        most = std::max(most, share);
    }
    // Its excess is 0.23 of its requests.
    BOOST_TEST(least > 0.05);
    BOOST_TEST(most < 0.45);
}

BOOST_AUTO_TEST_CASE(a_short_objective_is_not_spent_on_a_steady_share)
{
    const std::vector<zone_offer> offers{offerOf("a", zone_distance::home, 190, 150),
                                         offerOf("b", zone_distance::region, 40, 0)};
    zone_view view;
    view.hintAgeMs = 3'000;
    BOOST_TEST(chooseZone(offers, view, 0).share < 0.1);
    view.objectiveMs = 300; // Half of it would be spent at home.
    BOOST_TEST(chooseZone(offers, view, 0).share > 0.5);
}

BOOST_AUTO_TEST_CASE(a_full_link_keeps_requests_in_their_region)
{
    fleet_model fleet;
    fleet.terms.regionLinkMbps = 1;
    for (unsigned domain = 0; domain < 3; ++domain)
        fleet.perSecond[domain] = 1'400;
    fleet.run(20'000, 0);
    // The link's rate, and two seconds of it at the start.
    BOOST_TEST(fleet.farBytes() < 125'000 * 22.5);
    BOOST_TEST(fleet.farBytes() > 125'000 * 15);

    const std::vector<zone_offer> offers{offerOf("d", zone_distance::far, 40, 0)};
    zone_view view;
    view.hasLinkRoom = false;
    // Rather than refuse them.
    BOOST_TEST(chooseZone(offers, view, 0).offer == 0U);
}

BOOST_AUTO_TEST_CASE(a_prefix_that_leaves_goes_to_one_domain)
{
    std::vector<zone_offer> offers{offerOf("a", zone_distance::home, 900, 860),
                                   offerOf("b", zone_distance::region, 50, 10),
                                   offerOf("c", zone_distance::region, 40, 0)};
    std::set<std::size_t> chosen;
    for (std::uint64_t prefix = 1; prefix <= 20; ++prefix) {
        std::set<std::size_t> ofPrefix;
        zone_view view;
        for (view.request = 1; view.request <= 50; ++view.request) {
            const zone_decision decision = chooseZone(offers, view, prefix);
            if (decision.reason == "queue")
                ofPrefix.insert(decision.offer);
        }
        BOOST_TEST(ofPrefix.size() == 1U);
        chosen.merge(ofPrefix);
    }
    BOOST_TEST(chosen.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_home_would_refuse_leaves)
{
    const std::vector<zone_offer> offers{offerOf("a", zone_distance::home, 240, 200),
                                         offerOf("b", zone_distance::region, 50, 10)};
    zone_view view;
    view.hintAgeMs = 3'000;
    view.isRefusedAtHome = true;
    for (view.request = 1; view.request <= 100; ++view.request)
        BOOST_TEST(chooseZone(offers, view, 0).offer == 1U);
}

BOOST_AUTO_TEST_CASE(bytes_keep_a_large_request_at_home)
{
    const transfer_terms terms;
    std::vector<zone_offer> offers{offerOf("a", zone_distance::home, 100, 60),
                                   offerOf("b", zone_distance::region, 40, 0)};
    offers[1].transferMs = transferCostMs(terms, zone_distance::region, 2'000);
    BOOST_TEST(chooseZone(offers, {}, 0).share > 0);
    offers[1].transferMs = transferCostMs(terms, zone_distance::region, 200'000);
    BOOST_TEST(chooseZone(offers, {}, 0).share == 0);
}

BOOST_AUTO_TEST_CASE(a_prefix_has_a_wider_scope_the_larger_and_the_rarer_it_is)
{
    scope_input input{10, 20, 35, 105, 3, 2};
    BOOST_CHECK(choosePrefixScope(input) == prefix_scope::domain);
    input.prefillMs = 1'000;
    BOOST_CHECK(choosePrefixScope(input) == prefix_scope::region);
    input.prefillMs = 10'000;
    BOOST_CHECK(choosePrefixScope(input) == prefix_scope::fleet);
    input.usesPerDomain = 0; // Nothing will be found in any cache.
    BOOST_CHECK(choosePrefixScope(input) == prefix_scope::domain);
}

BOOST_AUTO_TEST_CASE(uses_of_a_prefix_are_expected_by_its_own_and_by_its_size)
{
    prefix_uses uses;
    for (unsigned index = 0; index < 2'000; ++index)
        recordPrefixUse(uses, index % 20, 3'000, at(index * 50.0));
    const double steady = 40'000 / 50.0 / 20;
    BOOST_TEST(expectedPrefixUses(uses, 7, 3'000, at(100'000)) == steady,
               boost::test_tools::tolerance(0.15));
    BOOST_TEST(expectedPrefixUses(uses, 99, 3'500, at(100'000)) == steady,
               boost::test_tools::tolerance(0.15));
    // Not none, by which each domain would read prefixes for itself while nothing is known.
    BOOST_TEST(expectedPrefixUses(uses, 99, 300, at(100'000)) > 0.01);
}

BOOST_AUTO_TEST_CASE(a_prefix_in_use_everywhere_stays_in_each_domain)
{
    const prompt_outline prompt{{{7, 350}, {8, 1'110}}, 1'460, 120};
    zone_view view;
    view.bytes = 10'000;
    view.homeHosts = 12;
    placement_request request;
    request.prompt = &prompt;
    for (unsigned domain = 0; domain < domainCount; ++domain) {
        service_pool pool = makePool(5);
        fleet_load others;
        request.zones = nullptr;
        const placement before = chooseUpstream(pool, request, siteOf(domain), others, instant{});
        request.zones = &view;
        for (unsigned index = 0; index < 200; ++index)
            recordDemand(pool, request, at(index * 20.0));
        const placement chosen = chooseUpstream(pool, request, siteOf(domain), others, at(4'000));
        BOOST_TEST(chosen.upstream->listed.failureDomain == domainNames.at(domain));
        BOOST_TEST(chosen.reason == "home");
        BOOST_TEST(before.zoneReason.empty());
    }
}

BOOST_AUTO_TEST_CASE(all_hosts_prefer_the_same_upstream_for_a_large_prefix)
{
    const prompt_outline prompt{{{7, 13'300}, {8, 3'720}}, 17'020, 120};
    zone_view view;
    view.bytes = 10'000;
    view.homeHosts = 12;
    placement_request request;
    request.prompt = &prompt;
    request.zones = &view;
    std::set<std::string> chosenIds;
    for (unsigned domain = 0; domain < domainCount; ++domain) {
        for (const unsigned earlier : {0U, 2U}) {
            service_pool pool = makePool(5);
            for (unsigned index = 0; index < earlier; ++index)
                recordDemand(pool, request, at(index * 1'000.0));
            fleet_load others;
            const placement chosen
                = chooseUpstream(pool, request, siteOf(domain), others, at(20'000));
            chosenIds.insert(chosen.upstream->listed.id);
        }
    }
    BOOST_TEST(chosenIds.size() == 1U);
}

BOOST_AUTO_TEST_CASE(reserved_upstreams_are_divided_among_the_domains)
{
    const prompt_outline prompt{{{7, 350}, {8, 1'110}}, 1'460, 120};
    zone_view view;
    view.bytes = 10'000;
    view.homeHosts = 12;
    placement_request request;
    request.prompt = &prompt;
    request.isGapSensitive = true;
    request.zones = &view;
    for (unsigned domain = 0; domain < domainCount; ++domain) {
        service_pool pool = makePool(5);
        for (unsigned index = 0; index < 200; ++index)
            recordDemand(pool, request, at(index * 20.0));
        pool.reservedLevel = domainCount;
        pool.reservedLevelAt = at(4'000);
        fleet_load others;
        const placement chosen = chooseUpstream(pool, request, siteOf(domain), others, at(4'000));
        BOOST_CHECK(chosen.distance == zone_distance::home);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
