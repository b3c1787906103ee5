#include "policy/attempt_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace quincefall {
namespace {

constexpr attempt_budget_rule rule{0.2, 54, milliseconds(10'000)};

/// Times of the further attempts granted to one host that asks for one with each request.
std::vector<instant> grantedAttempts(unsigned hosts, double requestsPerSecond, seconds time)
{
    attempt_budget budget;
    std::vector<instant> granted;
    const microseconds step(std::int64_t(1e6 / requestsPerSecond));
    for (instant now{}; now < instant{} + time; now += step) {
        depositAttempt(budget, rule);
        if (tryWithdrawAttempt(budget, rule, hosts, now))
            granted.push_back(now);
    }
    return granted;
}

std::size_t maxInWindow(const std::vector<instant> &granted)
{
    std::size_t maxCount = 0;
    for (auto first = granted.begin(); first != granted.end(); ++first) {
        const auto end = std::lower_bound(first, granted.end(), *first + rule.window);
        maxCount = std::max(maxCount, std::size_t(end - first));
    }
    return maxCount;
}

BOOST_AUTO_TEST_SUITE(attempt_budget_tests)

BOOST_AUTO_TEST_CASE(all_hosts_together_stay_below_the_fleets_budget)
{
    for (const unsigned hosts : {1U, 7U, 59U}) {
        for (const double rate : {0.5, 5.0, 60.0}) {
            const std::size_t maxCount
                = maxInWindow(grantedAttempts(hosts, rate, seconds(60))) * hosts;
            const double allowed = rule.ratio * rate * hosts * 10 + rule.slack;
            BOOST_TEST(double(maxCount) <= allowed,
                       hosts << " hosts at " << rate << "/s: " << maxCount << " of " << allowed);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_idle_host_may_make_one_further_attempt)
{
    attempt_budget budget;
    BOOST_TEST(tryWithdrawAttempt(budget, rule, 7, instant{} + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
