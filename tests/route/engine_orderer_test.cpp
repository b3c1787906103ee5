#include "route/engine_orderer.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds pollInterval{20};
constexpr seconds longestTest{60};

/// Keeps the newest duty record, as the platform's store does.
struct duty_store
{
    asio::io_context &context;
    std::string newest{};
    std::uint64_t end = 0;

    asio::awaitable<result<duty_page>> read(std::optional<store_position> from, milliseconds wait)
    {
        const instant until = steadyNow() + wait;
        asio::steady_timer timer(context);
        while (from && from->offset == end && steadyNow() < until) {
            timer.expires_after(pollInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        const bool isNew = end > 0 && (!from || from->offset != end);
        co_return duty_page{isNew ? std::optional(newest) : std::nullopt, {1, end}};
    }

    asio::awaitable<result<store_position>> append(std::string record, store_position at)
    {
        if (at.offset != end)
            co_return makeError(result_code::versionConflict, "another record was appended");
        newest = std::move(record);
        co_return store_position{1, ++end};
    }

    state_source source()
    {
        state_source made;
        made.duties = [this](std::optional<store_position> from, milliseconds wait) {
            return read(from, wait);
        };
        made.appendDuty = [this](std::string record, store_position at) {
            return append(std::move(record), at);
        };
        return made;
    }

    bool hasOrder(const scaling_order &order) const
    {
        wire::DutyRecord record;
        if (!record.ParseFromString(newest))
            return false;
        return std::any_of(
            record.orders().begin(), record.orders().end(), [&order](const auto &row) {
                return row.service() == order.service && row.failure_domain() == order.failureDomain
                    && row.count() == order.count && row.interruptible() == order.isInterruptible;
            });
    }
};

void addService(routing_state &state)
{
    desired_state desired;
    desired.version = 1;
    autoscale_rule rule;
    rule.minCount = 1;
    rule.maxCount = 8;
    rule.interruptiblePrice = 0.2;
    desired.services["engines"] = {"engines", "", 0, std::nullopt, rule};
    state.desired = std::make_shared<const desired_state>(std::move(desired));
    state.upstreamsConfirmedAt = steadyNow();
    state.hasReadPeers = true;
    for (const std::string domain : {"north", "south"}) {
        for (int index = 0; index < 4; ++index) {
            const std::string id = domain + std::to_string(index);
            upstream_entry &entry = state.pools["engines"].upstreams[id].listed;
            entry.id = id;
            entry.service = "engines";
            entry.failureDomain = domain;
        }
    }
}

BOOST_AUTO_TEST_SUITE(engine_orderer_tests)

BOOST_AUTO_TEST_CASE(orders_are_stored_before_they_are_sent_and_sent_again_with_a_newer_token)
{
    asio::io_context context;
    duty_store store{context};
    routing_state state;
    addService(state);
    const clock_source clock = makeSystemClock();
    duty_holder::options holding;
    holding.self = {"10.1.0.10", 7};
    auto holder = duty_holder::makeDutyHolder(context, state, store.source(), clock, holding);

    std::map<std::string, std::vector<std::uint64_t>> tokens; // Of each order, by domain.
    bool wasStored = true;
    duty_calls calls;
    calls.orderEngines
        = [&](scaling_order order, std::uint64_t fence) -> asio::awaitable<result<void>> {
        BOOST_TEST(order.isInterruptible);
        BOOST_TEST(order.count == 3U);
        wasStored = wasStored && store.hasOrder(order);
        tokens[order.failureDomain].push_back(fence);
        if (order.failureDomain == "south" && tokens["south"].size() == 1)
            co_return makeError(result_code::upstreamTimeout, "no answer");
        co_return result<void>();
    };
    auto orderer = engine_orderer::makeEngineOrderer(context, state, *holder, std::move(calls),
                                                     clock, {"north", 50});
    holder->start();
    orderer->start();
    const instant end = steadyNow() + longestTest;
    while (tokens["south"].size() < 2 && steadyNow() < end)
        context.run_one_for(pollInterval);

    BOOST_TEST_REQUIRE(tokens["south"].size() == 2U);
    BOOST_TEST(tokens["south"][0] < tokens["south"][1]);
    BOOST_TEST(tokens["north"].size() == 1U);
    BOOST_TEST(wasStored);
    BOOST_TEST(orderer->engines("north", true).ordered == 3U);
    BOOST_TEST(orderer->engines("north", false).listed == 4U);
    BOOST_TEST(orderer->numbers().unanswered == 1U);
    orderer->stop();
    context.stop();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
