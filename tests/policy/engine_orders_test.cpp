#include "policy/engine_orders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numbers>
#include <set>

namespace quincefall {
namespace {

const std::vector<std::string> domains{"north", "south", "east", "west"};

autoscale_rule makeRule()
{
    autoscale_rule rule;
    rule.minCount = 1;
    rule.maxCount = 30;
    rule.bootTime = milliseconds(4'000);
    rule.interruptiblePrice = 0.2;
    for (const std::string &domain : domains)
        rule.domainPrices[domain] = 1;
    return rule;
}

/// A platform that carries out orders, and the load of a service, both replayed in virtual time.
struct engine_replay
{
    struct booting
    {
        std::string domain;
        bool isInterruptible = false;
        instant readyAt;
    };

    autoscale_rule rule = makeRule();
    order_book book;
    engine_demand demand;
    std::map<std::string, listed_engines> listed;
    std::vector<booting> boots;
    std::set<std::string> withoutInterruptible; ///< Orders of these are refused.
    std::set<std::string> withoutBoots; ///< Orders of these are accepted and never carried out.
    double busyEngines = 0; ///< Of the fleet; spread evenly over the domains.
    instant now{};
    unsigned calls = 0;
    unsigned asked = 0; ///< Orders of interruptible engines that were refused.
    unsigned largestDrop = 0; ///< Of the engines of a domain within a step.

    explicit engine_replay(unsigned ordinary = 12)
    {
        for (const std::string &domain : domains)
            listed[domain].serving = {ordinary, 0};
    }

    unsigned &servingOf(const std::string &domain, bool isInterruptible)
    {
        engine_counts &serving = listed[domain].serving;
        return isInterruptible ? serving.interruptible : serving.ordinary;
    }

    order_outcome carryOut(const due_order &order)
    {
        ++calls;
        if (order.isInterruptible && withoutInterruptible.contains(order.domain)) {
            ++asked;
            return order_outcome::unavailable;
        }
        unsigned &serving = servingOf(order.domain, order.isInterruptible);
        const auto isSame = [&order](const booting &row) {
            return row.domain == order.domain && row.isInterruptible == order.isInterruptible;
        };
        if (order.count <= serving) {
            largestDrop = std::max(largestDrop, serving - order.count);
            serving = order.count;
            std::erase_if(boots, isSame);
        } else if (!withoutBoots.contains(order.domain)) {
            const auto underWay = unsigned(std::count_if(boots.begin(), boots.end(), isSame));
            for (unsigned more = serving + underWay; more < order.count; ++more)
                boots.push_back({order.domain, order.isInterruptible, now + rule.bootTime});
        }
        return order_outcome::accepted;
    }

    void step()
    {
        now += milliseconds(250);
        for (const booting &row : boots) {
            if (row.readyAt <= now)
                ++servingOf(row.domain, row.isInterruptible);
        }
        std::erase_if(boots, [this](const booting &row) { return row.readyAt <= now; });
        service_work work;
        work.busyEngines = busyEngines;
        work.inFlight = busyEngines * 2;
        for (const std::string &domain : domains)
            work.callers[domain] = work.inFlight / double(domains.size());
        recordWork(demand, work, 64, rule.bootTime, now);
        recordListed(book, listed, rule, now);
        changeOrders(book, rule, demand, now);
        for (const due_order &order : dueOrders(book, now)) {
            recordSending(book, order);
            recordSent(book, order, carryOut(order), rule, now);
        }
    }

    void run(
        int seconds, const std::function<void()> &each = [] {})
    {
        for (int quarter = 0; quarter < seconds * 4; ++quarter) {
            step();
            each();
        }
    }

    unsigned engines(const std::string &domain) { return listed[domain].serving.total(); }

    unsigned fleet()
    {
        unsigned sum = 0;
        for (const std::string &domain : domains)
            sum += engines(domain);
        return sum;
    }

    void take(const std::string &domain)
    {
        listed[domain].interruptibleLeaving = listed[domain].serving.interruptible;
        listed[domain].serving.interruptible = 0;
        withoutInterruptible.insert(domain);
    }
};

BOOST_AUTO_TEST_SUITE(engine_orders_tests)

BOOST_AUTO_TEST_CASE(cheaper_engines_take_over_before_the_first_request)
{
    engine_replay replay;
    unsigned fewest = replay.fleet();
    replay.run(10, [&] { fewest = std::min(fewest, replay.fleet()); });
    BOOST_TEST(fewest >= 48U);
    for (const std::string &domain : domains) {
        BOOST_TEST(replay.listed[domain].serving.ordinary == 1U);
        BOOST_TEST(replay.listed[domain].serving.interruptible == 11U);
    }
}

BOOST_AUTO_TEST_CASE(kinds_are_replaced_in_steps_under_load)
{
    engine_replay replay;
    replay.busyEngines = 16;
    unsigned fewest = replay.fleet();
    replay.run(14, [&] { fewest = std::min(fewest, replay.fleet()); });
    BOOST_TEST(fewest >= 48U);
    BOOST_TEST(replay.largestDrop <= 6U);
    BOOST_TEST(replay.listed["north"].serving.ordinary == 1U);
}

BOOST_AUTO_TEST_CASE(waves_do_not_swing_the_orders)
{
    engine_replay replay;
    const auto wave = [&] {
        const double phase = toMilliseconds(replay.now - instant()) / 11'000;
        replay.busyEngines = 12 * (1 + 0.5 * std::sin(2 * std::numbers::pi * phase));
    };
    replay.run(60, wave);
    const unsigned calls = replay.calls;
    const unsigned before = replay.fleet();
    BOOST_TEST(before >= 32U); // The crest at half of an engine's time, with one domain to spare.
    BOOST_TEST(before < 48U);
    replay.run(60, wave);
    BOOST_TEST(replay.fleet() == before);
    BOOST_TEST(replay.calls - calls <= 4U);
}

BOOST_AUTO_TEST_CASE(a_quiet_hour_keeps_engines_for_the_next_burst)
{
    engine_replay replay(4);
    replay.busyEngines = 20;
    replay.run(60);
    const unsigned inBurst = replay.fleet();
    BOOST_TEST(inBurst >= 48U);
    replay.busyEngines = 0;
    replay.run(10 * 60);
    BOOST_TEST(replay.fleet() >= inBurst * 3 / 4);
    replay.run(50 * 60);
    BOOST_TEST(replay.fleet() >= inBurst / 4);
    BOOST_TEST(replay.fleet() < inBurst / 2);
}

BOOST_AUTO_TEST_CASE(more_engines_are_ordered_at_once)
{
    engine_replay replay(4);
    replay.run(10);
    replay.busyEngines = 16;
    replay.run(12);
    BOOST_TEST(replay.fleet() >= 32U);
}

BOOST_AUTO_TEST_CASE(taken_engines_are_replaced_by_ordinary_ones)
{
    engine_replay replay;
    replay.busyEngines = 12;
    replay.run(60);
    const unsigned others = replay.fleet() - replay.engines("north");
    BOOST_TEST(others >= 24U); // Enough for all callers at once.
    replay.take("north");
    replay.run(6);
    BOOST_TEST(replay.engines("north") >= 6U);
    BOOST_TEST(replay.listed["north"].serving.interruptible == 0U);
    replay.run(120);
    BOOST_TEST(replay.asked <= 8U);
    BOOST_TEST(replay.fleet() - replay.engines("north") >= others);

    replay.withoutInterruptible.clear();
    replay.listed["north"].interruptibleLeaving = 0;
    replay.run(150);
    BOOST_TEST(replay.listed["north"].serving.ordinary == 1U);
    BOOST_TEST(replay.listed["north"].serving.interruptible >= 6U);
}

BOOST_AUTO_TEST_CASE(engines_taken_just_after_an_order_are_replaced_as_soon)
{
    engine_replay replay;
    replay.busyEngines = 12;
    replay.run(60);
    replay.busyEngines = 16;
    replay.run(3); // More were ordered and accepted.
    replay.take("north");
    replay.run(6);
    BOOST_TEST(replay.engines("north") >= 6U);
}

BOOST_AUTO_TEST_CASE(refused_engines_are_made_up_for_in_other_domains)
{
    engine_replay replay;
    replay.withoutInterruptible.insert("east");
    replay.busyEngines = 24;
    unsigned fewest = 12;
    replay.run(60, [&] { fewest = std::min(fewest, replay.engines("east")); });
    BOOST_TEST(fewest >= 12U);
    BOOST_TEST(replay.listed["east"].serving.ordinary >= 12U);
    // Each of the three others carries half as much again as its own callers need.
    BOOST_TEST(replay.engines("north") >= 18U);
    BOOST_TEST(replay.asked <= 6U);
}

BOOST_AUTO_TEST_CASE(refusals_in_most_domains_do_not_swell_the_others)
{
    std::map<std::string, domain_need> needs;
    for (int index = 0; index < 6; ++index)
        needs["domain-" + std::to_string(index)] = {10, 0, {}, index >= 2};
    const auto targets = targetEngines(makeRule(), needs);
    BOOST_TEST(targets.at("domain-0").engines == 15U);
    BOOST_TEST(targets.at("domain-5").engines == 10U);
}

BOOST_AUTO_TEST_CASE(orders_that_are_never_met_are_repeated_and_made_up_for)
{
    engine_replay replay;
    replay.withoutBoots.insert("west");
    replay.busyEngines = 16;
    replay.run(40);
    BOOST_TEST(replay.engines("west") >= 8U); // What its callers need serves at all times.
    BOOST_TEST(replay.book.domains["west"].lacksInterruptible);
    BOOST_TEST(replay.engines("north") >= 12U);
    const unsigned calls = replay.calls;
    replay.run(120);
    BOOST_TEST(replay.calls - calls <= 10U);
    BOOST_TEST(replay.calls - calls >= 2U);
    replay.withoutBoots.clear();
    replay.run(120);
    BOOST_TEST(replay.listed["west"].serving.ordinary == 1U);
}

BOOST_AUTO_TEST_CASE(both_kinds_together_stay_within_the_limits)
{
    engine_replay replay(20);
    replay.rule.maxCount = 20;
    replay.busyEngines = 40;
    const auto withinLimits = [&] {
        if (!replay.book.isOpen)
            return;
        for (const auto &[domain, orders] : replay.book.domains) {
            BOOST_TEST(orders.ordinary.count + orders.interruptible.count <= 20U);
            BOOST_TEST(orders.ordinary.count + orders.interruptible.count >= 1U);
        }
    };
    replay.run(180, withinLimits);
    BOOST_TEST(replay.listed["south"].serving.ordinary == 1U);
    BOOST_TEST(replay.listed["south"].serving.interruptible == 19U);
}

BOOST_AUTO_TEST_CASE(ordinary_engines_stay_where_the_others_cost_as_much)
{
    engine_replay replay;
    replay.rule.interruptiblePrice = 0.8; // With the reserve for a domain, more than ordinary ones.
    replay.busyEngines = 16;
    replay.run(30);
    BOOST_TEST(replay.listed["north"].serving.interruptible == 0U);
    BOOST_TEST(replay.listed["north"].serving.ordinary >= 8U);
}

BOOST_AUTO_TEST_CASE(an_unanswered_order_is_sent_again)
{
    engine_replay replay;
    replay.run(1);
    replay.step();
    order_book &book = replay.book;
    const due_order order{"north", true, 11};
    recordSending(book, order);
    recordSent(book, order, order_outcome::unknown, replay.rule, replay.now);
    BOOST_TEST(orderOf(book, "north", true).isDue);
    BOOST_TEST(dueOrders(book, replay.now).empty());
    BOOST_TEST(!dueOrders(book, replay.now + milliseconds(1'000)).empty());
}

BOOST_AUTO_TEST_CASE(the_next_holder_goes_on_with_the_orders)
{
    engine_replay replay;
    replay.busyEngines = 12;
    replay.run(60);
    const auto before = replay.listed;
    replay.book = {};
    replay.demand = {};
    for (const auto &[domain, engines] : before) {
        adoptOrder(replay.book, {domain, false, engines.serving.ordinary}, replay.now);
        adoptOrder(replay.book, {domain, true, engines.serving.interruptible}, replay.now);
    }
    replay.calls = 0;
    replay.run(30);
    BOOST_TEST(replay.calls == 8U); // Each order once more.
    for (const auto &[domain, engines] : before)
        BOOST_TEST(replay.engines(domain) == engines.serving.total());
}

BOOST_AUTO_TEST_CASE(nothing_is_ordered_before_the_list_is_complete)
{
    engine_replay replay(0);
    replay.run(5);
    BOOST_TEST(replay.calls == 0U);
    for (unsigned count = 1; count <= 12; ++count) {
        for (const std::string &domain : domains)
            replay.listed[domain].serving.ordinary = count;
        replay.step();
    }
    BOOST_TEST(replay.calls == 0U);
    replay.run(3);
    BOOST_TEST(replay.book.domains["north"].interruptible.count == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
