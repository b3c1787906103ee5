#include "policy/software_versions.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace quincefall {
namespace {

const instant start = instant{} + seconds(1'000);
constexpr seconds longest{10}; // Of a stream.

std::vector<listed_version> makeVersions(std::size_t old, std::size_t recent,
                                         seconds age = seconds(600))
{
    std::vector<listed_version> upstreams(old, {"v1", age});
    upstreams.insert(upstreams.end(), recent, {"v2", seconds(1)});
    return upstreams;
}

BOOST_AUTO_TEST_SUITE(software_versions_tests)

BOOST_AUTO_TEST_CASE(streams_beside_a_release_may_be_of_either_version)
{
    version_history history;
    updateVersions(history, makeVersions(9, 0), start);
    BOOST_TEST((onlyVersion(history, longest, start) == std::optional<std::string>("v1")));
    updateVersions(history, makeVersions(8, 1), start + seconds(20));
    BOOST_TEST(!onlyVersion(history, longest, start + seconds(20)));
    BOOST_TEST(!onlyVersion(history, longest, start + seconds(100)));
}

BOOST_AUTO_TEST_CASE(streams_of_a_version_that_has_left_are_remembered_for_their_time)
{
    version_history history;
    updateVersions(history, makeVersions(1, 8), start);
    updateVersions(history, makeVersions(0, 9), start + seconds(20));
    BOOST_TEST(!onlyVersion(history, longest, start + seconds(29)));
    BOOST_TEST(
        (onlyVersion(history, longest, start + seconds(30)) == std::optional<std::string>("v2")));
    // Also when the release is rolled back.
    updateVersions(history, makeVersions(9, 0), start + seconds(40));
    BOOST_TEST(!onlyVersion(history, longest, start + seconds(49)));
    BOOST_TEST(
        (onlyVersion(history, longest, start + seconds(50)) == std::optional<std::string>("v1")));
}

BOOST_AUTO_TEST_CASE(
    a_host_that_starts_just_after_a_release_does_not_take_the_version_for_the_only_one)
{
    version_history history;
    updateVersions(history, makeVersions(0, 9), start);
    BOOST_TEST(!onlyVersion(history, longest, start));
    version_history calm;
    updateVersions(calm, makeVersions(9, 0, seconds(12)), start);
    BOOST_TEST(onlyVersion(calm, longest, start).has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_starts_at_the_end_of_a_slow_release_does_not_forget_its_last_step)
{
    version_history history;
    const std::vector<listed_version> replaced{
        {"v2", seconds(60)}, {"v2", seconds(40)}, {"v2", seconds(20)}, {"v2", seconds(1)}};
    updateVersions(history, replaced, start);
    BOOST_TEST(!onlyVersion(history, longest, start));
    BOOST_TEST(onlyVersion(history, longest, start + longest).has_value());
}

BOOST_AUTO_TEST_CASE(a_version_that_came_and_left_between_two_updates_is_remembered)
{
    version_history history;
    noteListed(history, "v2", start);
    updateVersions(history, makeVersions(9, 0), start);
    noteListed(history, "v1", start + seconds(1));
    BOOST_TEST(onlyVersion(history, longest, start + seconds(1)).has_value());
    noteListed(history, "v2", start + seconds(20));
    updateVersions(history, makeVersions(9, 0), start + seconds(20));
    BOOST_TEST(!onlyVersion(history, longest, start + seconds(29)));
    BOOST_TEST(hasSeveralVersions(history, longest, start + seconds(29)));
    BOOST_TEST(onlyVersion(history, longest, start + seconds(30)).has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_starts_has_seen_no_other_version_and_rules_none_out)
{
    version_history history;
    updateVersions(history, makeVersions(0, 9), start);
    BOOST_TEST(!hasSeveralVersions(history, longest, start));
    BOOST_TEST(!onlyVersion(history, longest, start));
    updateVersions(history, makeVersions(1, 9), start + seconds(1));
    updateVersions(history, makeVersions(0, 9), start + seconds(2));
    BOOST_TEST(hasSeveralVersions(history, longest, start + seconds(11)));
    BOOST_TEST(!hasSeveralVersions(history, longest, start + seconds(12)));
}

BOOST_AUTO_TEST_CASE(a_service_without_upstreams_keeps_its_history)
{
    version_history history;
    BOOST_TEST(!onlyVersion(history, longest, start));
    updateVersions(history, makeVersions(9, 0), start);
    updateVersions(history, {}, start + seconds(1));
    BOOST_TEST(onlyVersion(history, longest, start + seconds(2)).has_value());
    updateVersions(history, makeVersions(0, 3), start + seconds(3));
    BOOST_TEST(!onlyVersion(history, longest, start + seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
