#include "route/load_exchange.h"

#include "kernel/asio_headers.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace quincefall {
namespace {

load_hint makeHint()
{
    load_hint hint;
    hint.host = {"10.1.0.40", 7340};
    hint.started = 1700000000123;
    hint.sequence = 9;
    upstream_work work{nameHash("engine"), {}, {}};
    work.inFlight[0] = 2;
    work.inFlight[5] = 3;
    work.unreadTokens[5] = 1'600;
    hint.upstreams = {work};
    hint.demands = {{nameHash("service"), 12.5, 4}};
    hint.desiredVersion = 7;
    hint.desiredAge = milliseconds(20);
    hint.upstreamsNext = {3, 81};
    hint.notices = {{"engine-7", 1700000000000, true, milliseconds(250), 3.5, milliseconds(20),
                     12.0, milliseconds(40)}};
    hint.framings = {{nameHash("service"), milliseconds(700)}};
    hint.cannotRelay = true;
    hint.dutyFence = 88;
    hint.wall = 1700000000456;
    hint.upstreamsAge = milliseconds(30);
    hint.suspects = {{66,
                      {{5, milliseconds(40), milliseconds(70), true, false}},
                      true,
                      1,
                      true,
                      milliseconds(0)}};
    return hint;
}

BOOST_AUTO_TEST_SUITE(load_exchange_tests)

BOOST_AUTO_TEST_CASE(a_hint_is_unchanged_by_encoding_and_decoding)
{
    const load_hint sent = makeHint();
    const auto read = decodeHint(encodeHint(sent));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST((read->host == sent.host));
    BOOST_TEST(read->sequence == sent.sequence);
    BOOST_TEST((read->upstreams.at(0).inFlight == sent.upstreams[0].inFlight));
    BOOST_TEST((read->upstreams.at(0).unreadTokens == sent.upstreams[0].unreadTokens));
    BOOST_TEST(read->demands.at(0).prefillMsPerSecond == 12.5);
    BOOST_TEST(read->desiredVersion == 7U);
    BOOST_TEST((read->upstreamsNext == sent.upstreamsNext));
    BOOST_TEST(read->notices.at(0).upstream == "engine-7");
    BOOST_TEST(read->notices.at(0).started == 1700000000000);
    BOOST_TEST(read->notices.at(0).isLeaving);
    BOOST_TEST((read->notices.at(0).pause == milliseconds(250)));
    BOOST_TEST((read->notices.at(0).limit == std::optional(3.5)));
    BOOST_TEST((read->notices.at(0).limitAge == std::optional(milliseconds(20))));
    BOOST_TEST((read->notices.at(0).maxRejections == std::optional(12.0)));
    BOOST_TEST((read->notices.at(0).maxRejectionsAge == std::optional(milliseconds(40))));
    BOOST_TEST_REQUIRE(read->framings.size() == 1U);
    BOOST_TEST(read->framings[0].service == nameHash("service"));
    BOOST_TEST((read->framings[0].framedAge == milliseconds(700)));
    BOOST_TEST(read->cannotRelay);
    BOOST_TEST(read->dutyFence == 88U);
    BOOST_TEST(read->wall == 1700000000456);
    BOOST_TEST((read->upstreamsAge == sent.upstreamsAge));
    const told_suspect &suspect = read->suspects.at(0);
    BOOST_TEST(suspect.trait == 66U);
    BOOST_TEST(suspect.isWholeRequest);
    BOOST_TEST(suspect.depth == 1U);
    BOOST_TEST(suspect.isHeld);
    BOOST_TEST((suspect.answeredAge == std::optional(milliseconds(0))));
    BOOST_TEST(suspect.crashes.at(0).crash == 5U);
    BOOST_TEST((suspect.crashes.at(0).age == milliseconds(40)));
    BOOST_TEST((suspect.crashes.at(0).waited == std::optional(milliseconds(70))));
    BOOST_TEST(suspect.crashes.at(0).wasAnswering);
    BOOST_TEST(!suspect.crashes.at(0).isRefuted);
}

BOOST_AUTO_TEST_CASE(a_stored_trait_is_older_when_it_is_read)
{
    const told_suspect stored = makeHint().suspects.at(0);
    const auto read
        = decodeHeldTrait(encodeHeldTrait(stored, 1'700'000'000'000), 1'700'000'005'000);
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read->trait == stored.trait);
    BOOST_TEST((read->crashes.at(0).age == milliseconds(5'040)));
    BOOST_TEST((read->answeredAge == std::optional(milliseconds(5'000))));
    // The reader's clock is behind.
    const auto early
        = decodeHeldTrait(encodeHeldTrait(stored, 1'700'000'000'000), 1'699'999'999'000);
    BOOST_TEST((early->crashes.at(0).age == milliseconds(40)));
    BOOST_TEST(!decodeHeldTrait("not a record", 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_hint_with_140_upstreams_takes_less_than_4500_bytes)
{
    load_hint hint = makeHint();
    hint.upstreams.resize(140, hint.upstreams.front());
    BOOST_TEST(encodeHint(hint).size() < 4'500U);
}

BOOST_AUTO_TEST_CASE(corrupted_messages_do_not_crash_the_decoder)
{
    std::mt19937 random(3);
    const std::string whole = encodeHint(makeHint());
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = whole;
        for (unsigned left = 1 + random() % 4; left > 0; --left)
            bytes[random() % bytes.size()] = char(random() % 256);
        bytes.resize(random() % (bytes.size() + 1));
        (void)decodeHint(bytes);
    }
    BOOST_TEST(!decodeHint("").has_value());
}

/// A host of a large fleet, all other members of which but one are silent.
struct exchanging_host
{
    explicit exchanging_host(boost::asio::io_context &context, const std::string &ip,
                             const host_address &other)
    {
        for (int number = 0; number < 100; ++number)
            routing.peers.push_back({{"127.0.1.1", std::uint16_t(7000 + number)}, "", 0});
        routing.peers.push_back({other, "", 0});
        routing.hasReadPeers = true;
        exchange = std::move(*load_exchange::makeLoadExchange(context, routing, {ip, exchangePort},
                                                              {ip, 7000}, makeSystemClock()));
        exchange->start();
    }

    static constexpr std::uint16_t exchangePort = 17'340;
    routing_state routing;
    std::unique_ptr<load_exchange> exchange;
};

// Load pattern: a large fleet, whose hints are seconds old.
BOOST_AUTO_TEST_CASE(news_is_sent_before_the_next_hint_is_due)
{
    boost::asio::io_context context;
    const host_address firstPeer{"127.0.0.41", 7000};
    const host_address secondPeer{"127.0.0.42", 7000};
    exchanging_host first(context, firstPeer.ip, secondPeer);
    exchanging_host second(context, secondPeer.ip, firstPeer);
    BOOST_TEST((hintInterval(first.routing.hostCount()) > milliseconds(800)));
    context.run_for(milliseconds(100));
    BOOST_TEST(second.routing.otherHostsLoad.hosts.empty());
    first.exchange->sendSoon();
    context.run_for(milliseconds(100));
    BOOST_TEST_REQUIRE(second.routing.otherHostsLoad.hosts.contains(firstPeer));
    // More news follows, but not at once.
    const auto sequence = [&second, &firstPeer] {
        return second.routing.otherHostsLoad.hosts.at(firstPeer).hint.sequence;
    };
    for (int news = 0; news < 20; ++news) {
        first.exchange->sendSoon();
        context.run_for(milliseconds(20));
    }
    BOOST_TEST(sequence() >= 2U);
    BOOST_TEST(sequence() <= 4U);
    first.exchange->stop();
    second.exchange->stop();
    context.run_for(milliseconds(50));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
