#include "ledger/order_plan.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

engine_report engineWith(const std::string &name, std::map<std::string, engine_model> loaded)
{
    return {name, "pool", true, std::move(loaded), {}};
}

std::string describe(const order_plan &plan)
{
    std::string text;
    for (const engine_order &order : plan.orders)
        text += (order.action == order_action::load ? "load " : "unload ") + order.engine + " "
            + order.model + ":" + order.version + order.adapter + "; ";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_plan_suite)

BOOST_AUTO_TEST_CASE(models_with_fewest_replicas_load_first_within_the_load_limit)
{
    const std::vector<declared_model> models{{"a", "pool", "1", {}, 0}, {"b", "pool", "1", {}, 1}};
    const std::vector<engine_report> engines{engineWith("e1", {{"a", {"1", {}}}}),
                                             engineWith("e2", {})};
    BOOST_TEST(describe(planOrders(models, engines, 1)).starts_with("load "));
    BOOST_TEST(planOrders(models, engines, 1).orders.size() == 1);
    BOOST_TEST(planOrders(models, engines, 1).orders.front().model == "b");
    BOOST_TEST(planOrders(models, engines, 0).orders.empty());
    BOOST_TEST(planOrders(models, engines, 0).gaps.size() == 2);
}

BOOST_AUTO_TEST_CASE(loading_engines_count_towards_the_load_limit)
{
    const std::vector<declared_model> models{{"a", "pool", "1", {}, 0}};
    std::vector<engine_report> engines{engineWith("e1", {}), engineWith("e2", {})};
    engines[0].loading["a"] = {"1", {}};
    BOOST_TEST(planOrders(models, engines, 1).orders.empty());
    BOOST_TEST(describe(planOrders(models, engines, 2)) == "load e2 a:1; ");
}

BOOST_AUTO_TEST_CASE(surplus_replica_is_unloaded_only_after_the_targets_are_loaded)
{
    const std::vector<declared_model> models{{"a", "pool", "2", {}, 1}};
    const std::vector<engine_report> before{engineWith("e1", {{"a", {"1", {}}}}),
                                            engineWith("e2", {{"a", {"1", {}}}})};
    const order_plan first = planOrders(models, before, 4);
    BOOST_TEST(first.orders.size() == 1);
    BOOST_TEST((first.orders.front().action == order_action::load));
    const std::vector<engine_report> after{engineWith("e1", {{"a", {"2", {}}}}),
                                           engineWith("e2", {{"a", {"1", {}}}})};
    BOOST_TEST(describe(planOrders(models, after, 4)) == "unload e2 a:1; ");
}

BOOST_AUTO_TEST_CASE(adapters_follow_their_model)
{
    const std::vector<declared_model> models{{"a", "pool", "1", {"x"}, 0}};
    const std::vector<engine_report> bare{engineWith("e1", {{"a", {"1", {}}}})};
    BOOST_TEST(describe(planOrders(models, bare, 4)) == "load e1 a:1x; ");
    const std::vector<engine_report> other{engineWith("e1", {{"a", {"1", {"x", "y"}}}})};
    BOOST_TEST(describe(planOrders(models, other, 4)) == "unload e1 a:1y; ");
}

BOOST_AUTO_TEST_CASE(undeclared_models_and_unreachable_engines_get_no_orders)
{
    const std::vector<declared_model> models{{"a", "pool", "1", {}, 0}};
    std::vector<engine_report> engines{engineWith("e1", {{"a", {"1", {}}}, {"z", {"1", {}}}}),
                                       engineWith("e2", {})};
    engines[1].isReachable = false;
    const order_plan plan = planOrders(models, engines, 4);
    BOOST_TEST(plan.orders.empty());
    BOOST_REQUIRE_EQUAL(plan.gaps.size(), 1);
    BOOST_TEST(plan.gaps.front().reason == "engine does not answer");
}

BOOST_AUTO_TEST_SUITE_END()
