#include "clients/compression.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace quincefall {
namespace {

constexpr std::size_t maxBytes = 1'000'000;

BOOST_AUTO_TEST_SUITE(compression_tests)

BOOST_AUTO_TEST_CASE(texts_are_unchanged)
{
    for (const std::string &text : {std::string(), std::string("x"), std::string(500'000, 'r')})
        BOOST_TEST((decompress(compress(text), maxBytes) == text));
}

BOOST_AUTO_TEST_CASE(texts_above_the_limit_are_refused)
{
    BOOST_TEST(!decompress(compress(std::string(maxBytes + 1, 'r')), maxBytes).has_value());
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_refused_or_read_without_a_crash)
{
    const std::string whole = compress(std::string(5'000, 'r') + std::string(5'000, 'q'));
    for (std::size_t size = 0; size < whole.size(); ++size)
        BOOST_TEST(!decompress(whole.substr(0, size), maxBytes).has_value());
    std::mt19937 random(11);
    for (int round = 0; round < 2'000; ++round) {
        std::string bytes = whole;
        bytes[random() % bytes.size()] = char(random() % 256);
        const auto text = decompress(bytes, maxBytes);
        BOOST_TEST((!text || text->size() <= maxBytes));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
