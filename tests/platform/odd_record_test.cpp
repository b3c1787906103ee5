#include "kernel/asio_headers.h"
#include "platform/state_reader.h"
#include "serve/http_server.h"
#include "support/odd_texts.h"

#include <boost/test/unit_test.hpp>
#include <openssl/evp.h>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using testing::makeEntry;
using testing::mutate;
using testing::nested;

constexpr std::string_view newestPath = "/-/log-newest";

std::string base64(const std::string &text)
{
    std::string encoded(text.size() / 3 * 4 + 5, '\0');
    const int size
        = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()),
                          reinterpret_cast<const unsigned char *>(text.data()), int(text.size()));
    encoded.resize(std::size_t(size));
    return encoded;
}

std::string makeItem(const std::string &key, const std::string &value,
                     const std::string &offset = "0")
{
    return R"({"key":)" + key + R"(,"value":")" + base64(value) + R"(","offset":)" + offset + "}";
}

std::string makePage(const std::vector<std::string> &items, const std::string &end = "9",
                     bool hasMore = false)
{
    std::string text = R"({"items":[)";
    for (const std::string &item : items)
        text += (text.back() == '[' ? "" : ",") + item;
    return text + R"(],"more":)" + (hasMore ? "true" : "false") + R"(,"end":)" + end + "}";
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += char(std::uint8_t(value >> unsigned(shift)));
    return text;
}

/// A record as log-read sends it.
std::string makeRecord(const std::string &key, const std::string &value)
{
    const std::string content = char(key.size()) + key + value;
    return bigEndian(content.size(), 4) + content;
}

/// A store that answers as @c answer says, and a source that reads it.
struct store_fixture
{
    asio::io_context context;
    std::function<std::string(http_exchange &)> answer;
    int calls = 0;
    std::unique_ptr<http_server> server = std::move(
        *http_server::makeHttpServer(context, {{"127.0.0.1", 0}}, [this](http_exchange &exchange) {
            return respond(exchange);
        }));
    state_source source = makePlatformStateSource(context, {"127.0.0.1", server->port()}, {});

    asio::awaitable<void> respond(http_exchange &exchange)
    {
        ++calls;
        co_await exchange.respond(200, {}, answer(exchange));
    }

    template <typename value_type>
    result<value_type> run(asio::awaitable<result<value_type>> call)
    {
        std::optional<result<value_type>> outcome;
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(call),
                       [&](const std::exception_ptr &thrown, result<value_type> value) {
                           failure = thrown;
                           outcome = std::move(value);
                       });
        while (!outcome)
            context.run_one_for(seconds(10));
        if (failure)
            std::rethrow_exception(failure);
        return *outcome;
    }

    /// Ids of the whole list; "-" before those that name no upstream.
    std::vector<std::string> wholeList()
    {
        const auto page = run(source.upstreams(std::nullopt, {}));
        BOOST_TEST_REQUIRE(page.has_value());
        return idsOf(*page);
    }

    static std::vector<std::string> idsOf(const upstream_page &page)
    {
        std::vector<std::string> ids;
        for (const upstream_change &change : page.changes)
            ids.push_back((change.entry ? "" : "-") + change.id);
        return ids;
    }
};

using ids = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(odd_record_tests)

BOOST_FIXTURE_TEST_CASE(an_odd_item_of_a_page_loses_that_item_alone, store_fixture)
{
    answer = [](http_exchange &) {
        std::vector<std::string> items{makeItem(R"("i-1")", makeEntry())};
        for (const char *offset : {"-1", "0.5", "1e30", "18446744073709551616", "null", "\"0\""})
            items.push_back(makeItem(R"("odd")", makeEntry(), offset));
        for (const char *item : {"null", "7", "[]", "{}", R"({"key":7,"value":"","offset":1})"})
            items.emplace_back(item);
        items.push_back(makeItem("\"i-\xff\"", makeEntry()));
        items.push_back(makeItem(R"("i-2")", makeEntry({.born = "1e308"})));
        items.push_back(makeItem(R"("i-3")", makeEntry()));
        return makePage(items);
    };
    BOOST_TEST((wholeList() == ids{"i-1", "-i-\xff", "-i-2", "i-3"}));
}

BOOST_FIXTURE_TEST_CASE(an_odd_end_of_a_page_is_a_failed_read, store_fixture)
{
    for (const char *end : {"-1", "0.5", "1e30", "18446744073709551616", "null", "\"9\""}) {
        answer = [end](http_exchange &) { return makePage({}, end); };
        const auto page = run(source.upstreams(std::nullopt, {}));
        BOOST_TEST_REQUIRE(!page.has_value(), end);
        BOOST_TEST(int(page.error().code) == int(result_code::logUnavailable));
    }
}

BOOST_FIXTURE_TEST_CASE(an_odd_offset_of_an_append_is_a_failed_call, store_fixture)
{
    for (const char *offset : {"-1", "0.5", "1e30", "18446744073709551615"}) {
        answer = [offset](http_exchange &) { return R"({"offset":)" + std::string(offset) + "}"; };
        BOOST_TEST(!run(source.appendDuty("x", {})).has_value(), offset);
    }
}

BOOST_FIXTURE_TEST_CASE(a_page_of_odd_items_does_not_end_the_list, store_fixture)
{
    answer = [](http_exchange &exchange) {
        const std::string after = exchange.query("after");
        if (after.empty())
            return makePage({R"({"key":"a&b=c d+e%2","value":7,"offset":1})"}, "9", true);
        BOOST_TEST(after == "a&b=c d+e%2");
        return makePage({makeItem(R"("i-1")", makeEntry())});
    };
    BOOST_TEST((wholeList() == ids{"i-1"}));
}

BOOST_FIXTURE_TEST_CASE(pages_that_do_not_advance_are_a_failed_read, store_fixture)
{
    for (const char *item : {"null", R"({"key":"a","value":"","offset":1})"}) {
        calls = 0;
        answer = [this, item](http_exchange &) { return makePage({item}, "9", calls < 5); };
        BOOST_TEST(!run(source.upstreams(std::nullopt, {})).has_value(), item);
    }
}

BOOST_FIXTURE_TEST_CASE(an_unreadable_newest_record_is_no_upstream_in_either_kind_of_read,
                        store_fixture)
{
    answer = [](http_exchange &exchange) {
        if (exchange.path() == newestPath)
            return makePage({makeItem(R"("i-1")", "?", "0"), makeItem(R"("i-2")", makeEntry())},
                            "2");
        return bigEndian(6, 8) + bigEndian(0, 8) + makeRecord("i-1", "?")
            + makeRecord("i-2", makeEntry()) + bigEndian(0, 4) + makeRecord("i-2", nested(10'000))
            + makeRecord("i-2", makeEntry());
    };
    BOOST_TEST((wholeList() == ids{"-i-1", "i-2"}));
    const auto page = run(source.upstreams(store_position{0, 1}, {}));
    BOOST_TEST_REQUIRE(page.has_value());
    BOOST_TEST((idsOf(*page) == ids{"-i-1", "i-2", "-", "-i-2", "i-2"}));
    BOOST_TEST(page->next.offset == 6U);
    BOOST_TEST(page->changes.back().next == 6U);
}

// Hosts that follow the record would take it for one that is gone, and claim the duties.
BOOST_FIXTURE_TEST_CASE(a_record_of_another_key_does_not_hide_the_duty_record, store_fixture)
{
    answer = [](http_exchange &exchange) {
        if (exchange.path() == newestPath)
            return makePage({makeItem(R"("duties")", "held"), makeItem(R"("other")", "?", "1")},
                            "2");
        return bigEndian(2, 8) + bigEndian(0, 8) + makeRecord("other", "?");
    };
    const auto page = run(source.duties(store_position{0, 1}, {}));
    BOOST_TEST_REQUIRE(page.has_value());
    BOOST_TEST(page->record.value_or("") == "held");
    BOOST_TEST(page->next.offset == 2U);
}

// Records of an answer that contradicts its request were counted, and later ones were never read.
BOOST_FIXTURE_TEST_CASE(an_answer_that_contradicts_its_request_is_a_failed_read, store_fixture)
{
    const std::string record = makeRecord("config", R"({"version":3})");
    struct odd_answer
    {
        std::uint64_t end;
        std::uint64_t first;
        int records;
        result_code code;
    };
    for (const odd_answer &odd : {odd_answer{6, 0, 2, result_code::logUnavailable},
                                  {5, 0, 1, result_code::logUnavailable},
                                  {9, 10, 0, result_code::logUnavailable},
                                  {4, 0, 0, result_code::logTruncated},
                                  {4, 0, 1, result_code::logTruncated},
                                  {9, 6, 1, result_code::logTruncated}}) {
        answer = [&](http_exchange &) {
            std::string body = bigEndian(odd.end, 8) + bigEndian(odd.first, 8);
            for (int left = odd.records; left > 0; --left)
                body += record;
            return body;
        };
        const auto page = run(source.desired(store_position{0, 5}, {}));
        BOOST_TEST_REQUIRE(!page.has_value(), odd.end << ' ' << odd.first << ' ' << odd.records);
        BOOST_TEST(int(page.error().code) == int(odd.code));
    }
    answer = [&](http_exchange &) { return bigEndian(7, 8) + bigEndian(5, 8) + record; };
    const auto page = run(source.desired(store_position{0, 5}, {}));
    BOOST_TEST_REQUIRE(page.has_value());
    BOOST_TEST(page->next.offset == 6U);
}

// The length of a record that was cut off within its first bytes was taken for the end of the page.
BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_within_a_record_is_a_failed_read, store_fixture)
{
    const std::string whole = bigEndian(7, 8) + bigEndian(0, 8)
        + makeRecord("config", R"({"version":3})") + makeRecord("config", R"({"version":4})");
    for (std::size_t cut = 1; cut < makeRecord("config", R"({"version":4})").size(); ++cut) {
        answer = [&](http_exchange &) { return whole.substr(0, whole.size() - cut); };
        BOOST_TEST(!run(source.desired(store_position{0, 5}, {})).has_value(), cut);
    }
}

// A host took its desired state for the newest because it could not read the newest one.
BOOST_FIXTURE_TEST_CASE(a_page_tells_that_its_newest_desired_state_cannot_be_read, store_fixture)
{
    const std::string sound = makeRecord("config", R"({"version":3})");
    const std::string odd = makeRecord("config", R"({"version":4,"routes":7})");
    const auto pageOf = [this](const std::string &records, std::uint64_t count) {
        answer = [&records, count](http_exchange &) {
            return bigEndian(count, 8) + bigEndian(0, 8) + records;
        };
        const auto page = run(source.desired(store_position{0, 0}, {}));
        BOOST_TEST_REQUIRE(page.has_value());
        return *page;
    };
    const desired_page last = pageOf(sound + odd + makeRecord("other", "x"), 3);
    BOOST_TEST(last.isNewestUnreadable);
    BOOST_TEST(last.newest->version == 3U);
    BOOST_TEST(pageOf(odd, 1).isNewestUnreadable);
    const desired_page earlier = pageOf(odd + sound, 2);
    BOOST_TEST(!earlier.isNewestUnreadable);
    BOOST_TEST(!earlier.isComplete);
    BOOST_TEST(!pageOf("", 0).isNewestUnreadable);
    answer = [](http_exchange &) {
        return makePage({makeItem(R"("config")", R"({"version":4,"routes":7})")});
    };
    BOOST_TEST(run(source.desired(std::nullopt, {}))->isNewestUnreadable);
}

BOOST_FIXTURE_TEST_CASE(mutated_answers_of_the_store_end_no_reader, store_fixture)
{
    std::mt19937 random(45);
    const std::string page = makePage({makeItem(R"("i-1")", makeEntry(), "3"),
                                       makeItem(R"("config")", R"({"version":3,"routes":[]})")});
    const std::string records = bigEndian(3, 8) + bigEndian(0, 8)
        + makeRecord("i-1", makeEntry({.born = "1e308"})) + makeRecord("config", "{\"version\":3}")
        + makeRecord("10.1.0.40:7340", R"({"failure_domain":"a","announced_ms":5})");
    answer = [&](http_exchange &exchange) {
        return mutate(exchange.path() == newestPath ? page : records, random);
    };
    for (int round = 0; round < 300; ++round) {
        (void)run(source.upstreams(std::nullopt, {}));
        (void)run(source.upstreams(store_position{0, 1}, {}));
        (void)run(source.desired(std::nullopt, {}));
        (void)run(source.desired(store_position{0, 1}, {}));
        (void)run(source.hosts());
        (void)run(source.held());
        (void)run(source.duties(std::nullopt, {}));
        (void)run(source.appendDuty("x", {}));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
