#include "policy/crash_quarantine.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace quincefall {
namespace {

const instant start = instant{} + seconds(1'000);
const host_address self{"10.0.0.1", 1};
constexpr std::uint64_t sharedId = 10;
constexpr std::uint64_t deadlyId = 66;

/// Of a prompt with a shared part, @p middle and a part of its own.
std::vector<request_trait> makePrompt(std::uint64_t middle, std::uint64_t first = sharedId)
{
    static std::uint64_t ownId = 1'000;
    prompt_outline prompt;
    prompt.parts = {{first, 400}, {middle, 200}, {++ownId, 50}};
    return sharedPartTraits(prompt);
}

void crash(crash_quarantine &quarantine, std::uint64_t crash,
           const std::vector<request_trait> &traits, instant now, bool wasAnswering = true)
{
    recordCrash(quarantine, {crash, now - seconds(1), wasAnswering}, traits, now);
    updateHeldTraits(quarantine, now);
}

bool isHeldAt(crash_quarantine &quarantine, std::uint64_t middle, instant now)
{
    updateHeldTraits(quarantine, now);
    return findHeldTrait(quarantine, makePrompt(middle), self, {}, now).has_value();
}

void tell(crash_quarantine &from, crash_quarantine &to, instant now)
{
    for (const told_suspect &told : takeNews(from, now))
        applySuspect(to, told, now);
    updateHeldTraits(to, now);
}

/// Tells all hosts the news of one of them.
void tellAll(std::vector<crash_quarantine> &hosts, std::size_t from, instant now)
{
    const auto news = takeNews(hosts[from], now);
    for (crash_quarantine &host : hosts) {
        for (const told_suspect &told : news)
            applySuspect(host, told, now);
        updateHeldTraits(host, now);
    }
}

BOOST_AUTO_TEST_SUITE(crash_quarantine_tests)

BOOST_AUTO_TEST_CASE(a_part_that_crashes_engines_seen_by_different_hosts_is_held_on_all)
{
    std::vector<crash_quarantine> hosts(3);
    crash(hosts[0], 1, makePrompt(deadlyId, 11), start);
    tellAll(hosts, 0, start);
    BOOST_TEST(!isHeldAt(hosts[0], deadlyId, start));
    const instant second = start + seconds(2);
    crash(hosts[1], 2, makePrompt(deadlyId, 12), second);
    tellAll(hosts, 1, second);
    for (auto &host : hosts)
        BOOST_TEST(isHeldAt(host, deadlyId, second));
    for (auto &host : hosts) {
        BOOST_TEST(!isHeldAt(host, 77, second));
        BOOST_TEST(!findHeldTrait(host, makePrompt(77, 11), self, {}, second));
    }
}

BOOST_AUTO_TEST_CASE(a_host_that_restarts_or_joins_or_lost_the_news_learns_what_is_held)
{
    crash_quarantine host;
    crash(host, 1, makePrompt(deadlyId, 11), start);
    crash(host, 2, makePrompt(deadlyId, 12), start + seconds(1));
    crash_quarantine second;
    const instant later = start + seconds(40);
    for (const told_suspect &told : suspectsToTell(host, later))
        applySuspect(second, told, later);
    BOOST_TEST(isHeldAt(second, deadlyId, later));
    crash_quarantine third; // From a host that has not seen a crash itself.
    for (const told_suspect &told : suspectsToTell(second, later))
        applySuspect(third, told, later);
    BOOST_TEST(isHeldAt(third, deadlyId, later));
}

BOOST_AUTO_TEST_CASE(the_loss_of_a_failure_domain_holds_no_part_back)
{
    crash_quarantine quarantine;
    for (std::uint64_t engine = 1; engine < 40; ++engine)
        crash(quarantine, engine, makePrompt(77), start + milliseconds(5 * engine));
    BOOST_TEST(!isHeldAt(quarantine, 77, start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(parts_that_are_answered_elsewhere_are_not_held)
{
    crash_quarantine quarantine;
    recordAnswered(quarantine, makePrompt(77), start - seconds(60));
    for (std::uint64_t engine = 1; engine < 4; ++engine)
        crash(quarantine, engine, makePrompt(77), start + seconds(engine));
    BOOST_TEST(!isHeldAt(quarantine, 77, start + seconds(4)));
    // Between two crashes.
    crash(quarantine, 5, makePrompt(78, 12), start + seconds(5));
    recordAnswered(quarantine, makePrompt(78, 12), start + seconds(6));
    crash(quarantine, 6, makePrompt(78, 12), start + seconds(17));
    BOOST_TEST(!isHeldAt(quarantine, 78, start + seconds(17)));
}

BOOST_AUTO_TEST_CASE(parts_that_only_accompany_a_deadly_one_are_not_held)
{
    crash_quarantine quarantine;
    // Both have the same first part, which no prompt was answered with.
    crash(quarantine, 1, makePrompt(deadlyId), start);
    crash(quarantine, 2, makePrompt(deadlyId), start + seconds(1));
    BOOST_TEST(isHeldAt(quarantine, deadlyId, start + seconds(1)));
    BOOST_TEST(!isHeldAt(quarantine, 77, start + seconds(1)));
    // Unless it turns out to be the cause.
    crash(quarantine, 3, makePrompt(77), start + seconds(2));
    BOOST_TEST(isHeldAt(quarantine, 78, start + seconds(2)));
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_only_cut_off_from_a_host_is_no_crash)
{
    crash_quarantine cutOff;
    crash_quarantine other;
    crash(cutOff, 1, makePrompt(77, 11), start);
    crash(cutOff, 2, makePrompt(77, 12), start + seconds(1));
    BOOST_TEST(isHeldAt(cutOff, 77, start + seconds(1)));
    tell(cutOff, other, start + seconds(1));
    // The other host's request was sent before, and goes on.
    recordSurvival(other, 2, start, start + seconds(3));
    tell(other, cutOff, start + seconds(3));
    BOOST_TEST(!isHeldAt(cutOff, 77, start + seconds(3)));
    BOOST_TEST(!isHeldAt(other, 77, start + seconds(3)));
}

/// An upstream's process that started at @p started.
upstream_entry makeProcess(std::int64_t started, const std::string &id = "e1",
                           const std::string &address = "10.0.1.1")
{
    upstream_entry entry;
    entry.id = id;
    entry.address = {address, 80};
    entry.started = started;
    return entry;
}

void lose(crash_quarantine &quarantine, const upstream_entry &entry, std::uint64_t request,
          instant now)
{
    recordLoss(quarantine,
               {entry, {crashId(entry), now - milliseconds(30), false}, {{request, 0, true}}, now});
}

bool isRequestHeldAt(crash_quarantine &quarantine, std::uint64_t request, instant now)
{
    updateHeldTraits(quarantine, now);
    return isHeld(quarantine, std::vector<request_trait>{{request, 0, true}});
}

// Each engine listened again before the host asked whether its address refuses connections.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_which_listen_again_at_once_is_held)
{
    crash_quarantine quarantine;
    for (int crashes = 0; crashes < 3; ++crashes) {
        const instant now = start + seconds(crashes);
        BOOST_TEST(!isRequestHeldAt(quarantine, 66, now));
        lose(quarantine, makeProcess(100 + crashes), 66, now);
        BOOST_TEST(!isRequestHeldAt(quarantine, 66, now));
        BOOST_TEST(recordListing(quarantine, makeProcess(101 + crashes), now + milliseconds(400))
                   == 1U);
    }
    BOOST_TEST(isRequestHeldAt(quarantine, 66, start + seconds(3)));
    BOOST_TEST(quarantine.losses.empty());
}

BOOST_AUTO_TEST_CASE(a_new_process_at_the_address_shows_a_crash_and_other_listings_do_not)
{
    crash_quarantine quarantine;
    lose(quarantine, makeProcess(100), 66, start);
    BOOST_TEST(recordListing(quarantine, makeProcess(100), start) == 0U);
    BOOST_TEST(recordListing(quarantine, makeProcess(99), start) == 0U);
    BOOST_TEST(recordListing(quarantine, makeProcess(200, "e2", "10.0.1.2"), start) == 0U);
    BOOST_TEST(recordListing(quarantine, makeProcess(200, "e2"), start) == 1U);
    BOOST_TEST(quarantine.suspects.at(66).crashes.size() == 1U);
    // Without the start of the earlier process nothing shows that the listed one is another.
    lose(quarantine, makeProcess(0), 67, start);
    BOOST_TEST(recordListing(quarantine, makeProcess(200), start) == 0U);
}

BOOST_AUTO_TEST_CASE(an_engine_that_answers_after_a_loss_did_not_crash_then)
{
    crash_quarantine quarantine;
    const upstream_entry engine = makeProcess(100);
    lose(quarantine, engine, 66, start);
    recordSurvival(quarantine, crashId(engine), start + seconds(1), start + seconds(2));
    BOOST_TEST(quarantine.losses.size() == 1U); // The new process may have answered.
    recordSurvival(quarantine, crashId(engine), start - seconds(1), start + seconds(2));
    BOOST_TEST(recordListing(quarantine, makeProcess(200), start + seconds(3)) == 0U);
    lose(quarantine, engine, 66, start);
    BOOST_TEST(recordListing(quarantine, makeProcess(200), start + seconds(61)) == 0U);
}

BOOST_AUTO_TEST_CASE(a_loss_before_an_answer_to_the_same_request_is_no_crash_under_it)
{
    crash_quarantine quarantine;
    lose(quarantine, makeProcess(100), 66, start);
    recordAnswered(quarantine, std::vector<request_trait>{{66, 0, true}}, start + seconds(1));
    recordListing(quarantine, makeProcess(200), start + seconds(2));
    BOOST_TEST(!quarantine.suspects.contains(66));
}

BOOST_AUTO_TEST_CASE(requests_that_wait_at_a_crashed_engine_weigh_less)
{
    crash_quarantine quarantine;
    for (std::uint64_t engine = 1; engine < 4; ++engine)
        crash(quarantine, engine, makePrompt(77, engine), start + seconds(engine), false);
    BOOST_TEST(!isHeldAt(quarantine, 77, start + seconds(4)));
    crash(quarantine, 4, makePrompt(77, 4), start + seconds(4), false);
    BOOST_TEST(isHeldAt(quarantine, 77, start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_held_part_is_tried_again_by_one_host_only)
{
    constexpr std::size_t hostCount = 354;
    std::vector<host_address> addresses(hostCount);
    for (std::size_t index = 0; index < hostCount; ++index)
        addresses[index] = {"10.1.0." + std::to_string(index), 1};
    std::vector<crash_quarantine> hosts(hostCount);
    crash(hosts[0], 1, makePrompt(deadlyId, 11), start);
    crash(hosts[0], 2, makePrompt(deadlyId, 12), start + seconds(1));
    const auto news = takeNews(hosts[0], start + seconds(1));
    std::size_t sent = 0;
    std::size_t trialHost = 0;
    for (std::size_t index = 0; index < hostCount; ++index) {
        for (const told_suspect &told : news)
            applySuspect(hosts[index], told, start + seconds(1));
        updateHeldTraits(hosts[index], start + seconds(1));
        // Several requests at each host, over the second minute.
        for (const seconds at : {seconds(3), seconds(59), seconds(63), seconds(90), seconds(110)}) {
            const bool isSent = !findHeldTrait(hosts[index], makePrompt(deadlyId), addresses[index],
                                               addresses, start + at);
            sent += isSent ? 1 : 0;
            trialHost = isSent ? index : trialHost;
        }
    }
    BOOST_TEST(sent == 1);
    // The trial is answered, and all hosts use the part again.
    recordAnswered(hosts[trialHost], makePrompt(deadlyId), start + seconds(111));
    tell(hosts[trialHost], hosts[5], start + seconds(111));
    BOOST_TEST(!isHeldAt(hosts[5], deadlyId, start + seconds(111)));
}

BOOST_AUTO_TEST_CASE(the_quarantine_is_bounded_and_keeps_held_parts)
{
    crash_quarantine quarantine;
    crash(quarantine, 1, makePrompt(deadlyId, 11), start);
    crash(quarantine, 2, makePrompt(deadlyId, 12), start + seconds(1));
    for (std::uint64_t engine = 3; engine < 2'000; ++engine)
        crash(quarantine, engine, makePrompt(1'000'000 + engine, 2'000'000 + engine),
              start + seconds(1) + milliseconds(10 * engine));
    BOOST_TEST(quarantine.suspects.size() <= 1'024U);
    BOOST_TEST(suspectsToTell(quarantine, start + seconds(25)).size() <= 8U);
    BOOST_TEST(isHeldAt(quarantine, deadlyId, start + seconds(25)));
}

BOOST_AUTO_TEST_CASE(a_prompt_of_one_part_is_never_held)
{
    crash_quarantine quarantine;
    prompt_outline prompt;
    prompt.parts = {{5, 100}};
    const auto traits = sharedPartTraits(prompt);
    for (std::uint64_t engine = 1; engine < 9; ++engine)
        crash(quarantine, engine, traits, start + seconds(engine));
    BOOST_TEST(!findHeldTrait(quarantine, traits, self, {}, start + seconds(9)));
    BOOST_TEST(quarantine.suspects.empty());
}

std::vector<request_trait> makeCall(std::uint64_t digest)
{
    return {{digest, 0, true}};
}

/// A call with @p digest runs for 40 ms until its upstream crashes at @p now.
void crashCall(crash_quarantine &quarantine, std::uint64_t crash, std::uint64_t digest, instant now)
{
    recordCrash(quarantine, {crash, now - milliseconds(40), false}, makeCall(digest), now);
    updateHeldTraits(quarantine, now);
}

bool isCallHeld(crash_quarantine &quarantine, std::uint64_t digest, instant now)
{
    return findHeldTrait(quarantine, makeCall(digest), self, {}, now).has_value();
}

BOOST_AUTO_TEST_CASE(a_call_that_crashed_three_engines_one_after_the_other_is_held)
{
    crash_quarantine quarantine;
    // Repeated at once, and by its caller 100 ms later.
    crashCall(quarantine, 1, deadlyId, start);
    crashCall(quarantine, 2, deadlyId, start + milliseconds(60));
    BOOST_TEST(!isCallHeld(quarantine, deadlyId, start + milliseconds(60)));
    crashCall(quarantine, 3, deadlyId, start + milliseconds(220));
    BOOST_TEST(isCallHeld(quarantine, deadlyId, start + milliseconds(220)));
    BOOST_TEST(!isCallHeld(quarantine, 77, start + milliseconds(220)));
}

BOOST_AUTO_TEST_CASE(a_call_at_engines_that_end_at_the_same_moment_is_not_held)
{
    crash_quarantine quarantine;
    for (std::uint64_t engine = 1; engine < 40; ++engine)
        crashCall(quarantine, engine, 77, start + milliseconds(engine));
    BOOST_TEST(!isCallHeld(quarantine, 77, start + milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(a_call_that_is_answered_between_crashes_is_not_held)
{
    crash_quarantine quarantine;
    for (std::uint64_t engine = 1; engine < 9; ++engine) {
        crashCall(quarantine, engine, 77, start + seconds(30 * engine));
        recordAnswered(quarantine, makeCall(77), start + seconds(30 * engine + 1));
    }
    BOOST_TEST(!isCallHeld(quarantine, 77, start + seconds(300)));
    // Answered by another host, which hears that the call is held.
    crash_quarantine other;
    recordAnswered(other, makeCall(78), start + seconds(20));
    for (std::uint64_t engine = 1; engine < 4; ++engine)
        crashCall(quarantine, engine, 78, start + seconds(engine));
    BOOST_TEST(isCallHeld(quarantine, 78, start + seconds(4)));
    tell(quarantine, other, start + seconds(21));
    tell(other, quarantine, start + seconds(21));
    BOOST_TEST(!isCallHeld(quarantine, 78, start + seconds(21)));
}

BOOST_AUTO_TEST_CASE(calls_that_accompany_a_deadly_one_are_released_once_it_has_crashed_one_more)
{
    crash_quarantine quarantine;
    for (std::uint64_t engine = 1; engine < 4; ++engine) {
        crashCall(quarantine, engine, 77, start + seconds(engine));
        crashCall(quarantine, engine, deadlyId, start + seconds(engine));
    }
    BOOST_TEST(isCallHeld(quarantine, deadlyId, start + seconds(3)));
    crashCall(quarantine, 4, deadlyId, start + seconds(4));
    BOOST_TEST(isCallHeld(quarantine, deadlyId, start + seconds(4)));
    BOOST_TEST(!isCallHeld(quarantine, 77, start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_deadly_call_with_known_prompt_parts_is_held_without_its_parts)
{
    crash_quarantine quarantine;
    const auto parts = makePrompt(77);
    recordAnswered(quarantine, parts, start - seconds(1));
    for (std::uint64_t engine = 1; engine < 4; ++engine) {
        const instant now = start + seconds(20 * engine);
        auto traits = parts;
        traits.push_back({deadlyId, 0, true});
        crash(quarantine, engine, traits, now, false);
    }
    BOOST_TEST(isCallHeld(quarantine, deadlyId, start + seconds(60)));
    BOOST_TEST(!isHeldAt(quarantine, 77, start + seconds(60)));
}

BOOST_AUTO_TEST_CASE(hosts_that_each_see_one_crash_of_a_call_hold_it_through_its_keeper)
{
    std::vector<crash_quarantine> hosts(354);
    crash_quarantine &keeper = hosts[7];
    for (std::uint64_t engine = 1; engine < 4; ++engine) {
        const instant now = start + milliseconds(300 * engine);
        crash_quarantine &witness = hosts[100 + engine];
        crashCall(witness, engine, deadlyId, now);
        for (const told_suspect &told : takeKeeperNews(witness, now)) {
            const bool isToPassOn = applySuspect(keeper, told, now);
            BOOST_TEST(isToPassOn == (engine > 1));
            if (isToPassOn)
                keeper.news.insert(told.trait);
        }
        updateHeldTraits(keeper, now);
        tellAll(hosts, 7, now);
        tellAll(hosts, 100 + engine, now);
    }
    for (crash_quarantine &host : hosts)
        BOOST_TEST(isCallHeld(host, deadlyId, start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_held_call_gets_two_trials_in_the_whole_fleet)
{
    std::vector<host_address> addresses;
    addresses.reserve(20);
    for (int index = 0; index < 20; ++index)
        addresses.push_back({"10.1.0." + std::to_string(index), 1});
    std::vector<crash_quarantine> hosts(addresses.size());
    for (std::uint64_t engine = 1; engine < 4; ++engine)
        crashCall(hosts[0], engine, deadlyId, start + seconds(engine));
    tellAll(hosts, 0, start + seconds(3));
    std::uint64_t engine = 4;
    for (int minute = 0; minute < 5 * 60; ++minute) {
        const instant now = start + seconds(60 * minute + 30);
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            if (findHeldTrait(hosts[index], makeCall(deadlyId), addresses[index], addresses, now))
                continue;
            crashCall(hosts[index], engine++, deadlyId, now);
            tellAll(hosts, index, now);
        }
    }
    BOOST_TEST(engine == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
