#include "policy/stream_record.h"

#include "route/stream_record_codec.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

constexpr instant now = instant{} + seconds(1'000);
constexpr microseconds window = seconds(120);
constexpr microseconds longest = seconds(60);

version_history makeHistory(std::set<std::string> listed)
{
    version_history history;
    std::vector<listed_version> upstreams;
    upstreams.reserve(listed.size());
    for (const std::string &version : listed)
        upstreams.push_back({version, seconds(600)});
    updateVersions(history, upstreams, now);
    return history;
}

stream_record makeRecord(microseconds age, stored_versions versions)
{
    return {age, 1, {}, {std::move(versions)}};
}

BOOST_AUTO_TEST_SUITE(stream_record_tests)

// Hosts that were all killed as a version left took the other one for the only one there was.
BOOST_AUTO_TEST_CASE(a_version_that_was_listed_when_all_hosts_were_lost_has_just_left)
{
    version_history history = makeHistory({"v2"});
    BOOST_TEST((onlyVersion(history, longest, now) == "v2"));
    const std::vector<stream_record> records{
        makeRecord(seconds(300), {"engines", {"v1", "v2"}, false, seconds(0)})};
    restoreVersions(history, "engines", records, window, now);
    BOOST_TEST(!onlyVersion(history, longest, now));
    BOOST_TEST(hasSeveralVersions(history, longest, now));
    BOOST_TEST(!hasSeveralVersions(history, longest, now + longest));
}

BOOST_AUTO_TEST_CASE(a_version_that_had_left_before_the_hosts_were_lost_is_remembered_for_its_time)
{
    version_history history = makeHistory({"v2"});
    const std::vector<stream_record> records{
        makeRecord(seconds(20), {"engines", {"v2"}, true, seconds(30)})};
    restoreVersions(history, "engines", records, window, now);
    BOOST_TEST(hasSeveralVersions(history, seconds(51), now));
    BOOST_TEST(!hasSeveralVersions(history, seconds(50), now));
}

BOOST_AUTO_TEST_CASE(a_list_that_is_read_after_the_records_is_compared_with_them)
{
    version_history history;
    const std::vector<stream_record> records{
        makeRecord(seconds(2), {"engines", {"v1"}, true, seconds(500)})};
    restoreVersions(history, "engines", records, window, now);
    updateVersions(history, std::vector<listed_version>{{"v2", seconds(600)}}, now);
    BOOST_TEST(hasSeveralVersions(history, longest, now));
}

BOOST_AUTO_TEST_CASE(an_old_record_of_a_host_that_is_gone_does_not_outlive_a_newer_one)
{
    version_history history = makeHistory({"v2"});
    const std::vector<stream_record> records{
        makeRecord(seconds(500), {"engines", {"v1", "v2"}, false, seconds(0)}),
        makeRecord(seconds(400), {"engines", {"v2"}, true, seconds(0)})};
    restoreVersions(history, "engines", records, window, now);
    BOOST_TEST(!hasSeveralVersions(history, longest, now));
    restoreVersions(history, "desk", records, window, now);
    BOOST_TEST(!hasSeveralVersions(history, longest, now));
}

BOOST_AUTO_TEST_CASE(services_that_always_had_one_version_are_not_stored)
{
    std::map<std::string, version_history> services{{"one", makeHistory({"v1"})},
                                                    {"two", makeHistory({"v1", "v2"})}};
    services["was-two"] = makeHistory({"v1", "v2"});
    updateVersions(services["was-two"], std::vector<listed_version>{{"v2", seconds(9)}}, now);
    const auto stored = versionsToStore(services, now + seconds(3));
    BOOST_REQUIRE(stored.size() == 2U);
    BOOST_TEST(stored[0].service == "two");
    BOOST_TEST(stored[1].service == "was-two");
    BOOST_TEST(stored[1].hasSeenOthers);
    BOOST_TEST(stored[1].unchangedFor.count() == microseconds(seconds(3)).count());
}

BOOST_AUTO_TEST_CASE(records_of_an_older_epoch_alone_may_lack_what_came_later)
{
    const std::vector<stream_record> records{makeRecord(seconds(1), {"engines", {}, true, {}})};
    BOOST_TEST(!mayLackRecords({}, 2));
    BOOST_TEST(!mayLackRecords(records, 1));
    BOOST_TEST(mayLackRecords(records, 2));
}

BOOST_AUTO_TEST_CASE(a_record_is_read_as_it_was_written)
{
    constexpr wall_milliseconds written = 1'700'000'000'000;
    stream_record record{{}, 7, {}, {{"engines", {"v1", "v2"}, true, seconds(4)}}};
    record.streams = {{11, {"engines", "v1"}, milliseconds(1'500)},
                      {12, {"engines", "v2"}, milliseconds(20)},
                      {13, {"engines", "v1"}, milliseconds(0)}};
    const auto read = decodeStreamRecord(encodeStreamRecord(record, written), written + 250);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->age.count() == microseconds(milliseconds(250)).count());
    BOOST_TEST(read->storeEpoch == 7U);
    BOOST_REQUIRE(read->streams.size() == 3U);
    for (const stored_stream &one : read->streams) {
        const auto same = std::find_if(
            record.streams.begin(), record.streams.end(),
            [&one](const stored_stream &other) { return other.stream == one.stream; });
        BOOST_REQUIRE((same != record.streams.end()));
        BOOST_TEST((same->kind == one.kind));
        BOOST_TEST(same->age.count() == one.age.count());
    }
    BOOST_REQUIRE(read->versions.size() == 1U);
    BOOST_TEST((read->versions[0].listed == std::set<std::string>{"v1", "v2"}));
    BOOST_TEST(read->versions[0].unchangedFor.count() == microseconds(seconds(4)).count());
    BOOST_TEST(!decodeStreamRecord("no record", written));
    BOOST_TEST(!decodeStreamRecord("", written));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
