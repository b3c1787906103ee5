#include "route/load_exchange.h"

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
    hint.notices = {{"engine-7", 1700000000000, true, milliseconds(250)}};
    hint.upstreamsAge = milliseconds(30);
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
    BOOST_TEST((read->upstreamsAge == sent.upstreamsAge));
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
