#include "policy/fleet_clock.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>
#include <vector>

namespace quincefall {
namespace {

constexpr wall_milliseconds startOfDay = 1'700'000'000'000;
constexpr int hostCount = 70;

host_address hostAt(int index)
{
    return {"10.1.0." + std::to_string(index), 7};
}

/// The clocks of a fleet of which one host reads them; its own is host 0.
struct fleet_session
{
    instant now{seconds(500)};
    fleet_clock clock{};
    std::vector<milliseconds> errors = std::vector<milliseconds>(hostCount); ///< Of each clock.

    wall_milliseconds truth() const
    {
        return startOfDay
            + std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    void readAll(milliseconds delay)
    {
        for (int host = 0; host < hostCount; ++host) {
            const milliseconds late = host == 0 ? milliseconds(0) : delay;
            const milliseconds error = errors.at(std::size_t(host)) - late;
            recordWallClock(clock, hostAt(host), truth() + error.count(), now);
        }
    }

    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(500)) {
            now += milliseconds(500);
            readAll(milliseconds(8));
        }
    }

    void step(int hosts, milliseconds error)
    {
        for (int host = 0; host < hosts; ++host)
            errors.at(std::size_t(host)) = error;
    }

    wall_milliseconds errorOfTime() const
    {
        return std::abs(trueTime(clock, now).value_or(0) - truth());
    }
};

BOOST_AUTO_TEST_SUITE(fleet_clock_tests)

BOOST_AUTO_TEST_CASE(steps_of_a_third_of_the_clocks_change_nothing)
{
    for (const milliseconds error : {milliseconds(2'000), milliseconds(-2'000)}) {
        fleet_session session;
        session.run(seconds(5));
        session.step(hostCount * 3 / 10, error);
        for (int seconds = 0; seconds < 10; ++seconds) {
            session.run(milliseconds(1'000));
            BOOST_TEST(session.errorOfTime() <= 20);
        }
        session.step(hostCount * 3 / 10, milliseconds(0));
        for (int seconds = 0; seconds < 10; ++seconds) {
            session.run(milliseconds(1'000));
            BOOST_TEST(session.errorOfTime() <= 20);
        }
    }
}

BOOST_AUTO_TEST_CASE(messages_queued_while_the_host_was_suspended_are_no_step)
{
    fleet_session session;
    session.run(seconds(5));
    session.now += seconds(8);
    for (int age = 8'000; age > 0; age -= 400) {
        session.readAll(milliseconds(age));
        BOOST_TEST(session.errorOfTime() <= 20);
        session.now += milliseconds(1);
    }
    session.run(seconds(5));
    BOOST_TEST(session.errorOfTime() <= 20);
}

BOOST_AUTO_TEST_CASE(a_host_that_starts_with_a_wrong_clock_uses_those_of_the_others)
{
    fleet_session session;
    recordWallClock(session.clock, hostAt(0), session.truth() + 2'000, session.now);
    recordWallClock(session.clock, hostAt(1), session.truth() - 5, session.now);
    recordWallClock(session.clock, hostAt(2), session.truth() - 9, session.now);
    BOOST_TEST(session.errorOfTime() <= 20);
}

BOOST_AUTO_TEST_CASE(a_clock_that_was_set_back_for_good_is_followed)
{
    fleet_session session;
    session.run(seconds(5));
    session.step(hostCount, milliseconds(-700));
    session.run(seconds(5));
    BOOST_TEST(std::abs(session.errorOfTime() - 700) <= 20);
}

BOOST_AUTO_TEST_CASE(hosts_that_left_are_forgotten)
{
    fleet_session session;
    session.run(seconds(1));
    session.now += seconds(100);
    recordWallClock(session.clock, hostAt(0), session.truth(), session.now);
    dropOldReadings(session.clock, session.now);
    BOOST_TEST(session.clock.hosts.size() == 1U);
    BOOST_TEST(!trueTime({}, session.now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
