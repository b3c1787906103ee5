#include "policy/attempt_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace quincefall {
namespace {

constexpr attempt_budget_rule rule{0.2, 54, milliseconds(10'000)};

/// Further attempts of one host that asks for one with each request.
std::vector<instant> spend(unsigned hosts, double requestsPerSecond, seconds time)
{
    attempt_budget budget;
    std::vector<instant> taken;
    const microseconds step(std::int64_t(1e6 / requestsPerSecond));
    for (instant now{}; now < instant{} + time; now += step) {
        depositAttempt(budget, rule);
        if (tryWithdrawAttempt(budget, rule, hosts, now))
            taken.push_back(now);
    }
    return taken;
}

std::size_t mostInWindow(const std::vector<instant> &taken)
{
    std::size_t most = 0;
    for (auto first = taken.begin(); first != taken.end(); ++first) {
        const auto end = std::lower_bound(first, taken.end(), *first + rule.window);
        most = std::max(most, std::size_t(end - first));
    }
    return most;
}

BOOST_AUTO_TEST_SUITE(attempt_budget_tests)

BOOST_AUTO_TEST_CASE(all_hosts_together_stay_below_the_fleets_budget)
{
    for (const unsigned hosts : {1U, 7U, 59U}) {
        for (const double rate : {0.5, 5.0, 60.0}) {
            const std::size_t most = mostInWindow(spend(hosts, rate, seconds(60))) * hosts;
            const double allowed = rule.ratio * rate * hosts * 10 + rule.slack;
            BOOST_TEST(double(most) <= allowed,
                       hosts << " hosts at " << rate << "/s: " << most << " of " << allowed);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_quiet_host_may_still_try_once_more)
{
    attempt_budget budget;
    BOOST_TEST(tryWithdrawAttempt(budget, rule, 7, instant{} + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
