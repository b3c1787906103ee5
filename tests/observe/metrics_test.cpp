#include "observe/metrics.h"

#include "serve/answer_metrics.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

answer_summary completeAnswer(std::int64_t firstTokenMs, std::int64_t totalMs)
{
    answer_summary facts;
    facts.result = answer_summary::outcome::complete;
    facts.serviceClass = "director";
    facts.tokens = 11;
    facts.timeToFirstToken = milliseconds(firstTokenMs);
    facts.total = milliseconds(totalMs);
    return facts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metric_families)

BOOST_AUTO_TEST_CASE(countersAndHistogramsFollowTheTextFormat)
{
    const auto meters = metrics::makeMetrics();
    meters->add(metric::sheds, {{"code", "a\"b\\c\n"}}, 2);
    meters->observe(metric::queueWait, {{"class", "director"}}, 0.5);
    meters->observe(metric::queueWait, {{"class", "director"}}, 1000);
    meters->addCallbackMetric({"reads", "gauge", "A reading.", "", [] { return 1.5; }});
    const std::string text = meters->render();
    BOOST_TEST(contains(text,
                        "# TYPE quincefall_sheds_total counter\n"
                        "quincefall_sheds_total{code=\"a\\\"b\\\\c\\n\"} 2\n"));
    BOOST_TEST(contains(text, "# TYPE quincefall_queue_wait_seconds histogram\n"));
    BOOST_TEST(contains(text,
                        "quincefall_queue_wait_seconds_bucket{class=\"director\","
                        "le=\"+Inf\"} 2\n"));
    BOOST_TEST(contains(text, "quincefall_queue_wait_seconds_sum{class=\"director\"} 1000.5\n"));
    BOOST_TEST(contains(text, "quincefall_queue_wait_seconds_count{class=\"director\"} 2\n"));
    BOOST_TEST(contains(text, "# HELP reads A reading.\n# TYPE reads gauge\nreads 1.5\n"));
}

BOOST_AUTO_TEST_CASE(goodputCountsAnswersThatMetBothTargets)
{
    const auto meters = metrics::makeMetrics();
    recordAnswerMetrics(*meters, completeAnswer(700, 700 + 730)); // exactly on both targets
    recordAnswerMetrics(*meters, completeAnswer(701, 701 + 730)); // the first token is 1 ms late
    recordAnswerMetrics(*meters, completeAnswer(700, 700 + 740)); // the mean token gap is too long
    BOOST_TEST(meters->value(metric::tokens, {{"class", "director"}}) == 33);
    BOOST_TEST(meters->value(metric::goodTokens, {{"class", "director"}}) == 11);
    BOOST_TEST(meters->value(metric::targetResults,
                             {{"class", "director"}, {"target", "first_token"}, {"met", "no"}})
               == 1);
}

BOOST_AUTO_TEST_CASE(abandonedAnswersAndDroppedTokensCountAsWasted)
{
    const auto meters = metrics::makeMetrics();
    answer_summary facts = completeAnswer(1, 2);
    facts.result = answer_summary::outcome::abandoned;
    facts.droppedTokens = 3;
    recordAnswerMetrics(*meters, facts);
    BOOST_TEST(meters->value(metric::wastedTokens, {{"cause", "abandoned"}}) == 11);
    BOOST_TEST(meters->value(metric::wastedTokens, {{"cause", "dropped"}}) == 3);
    BOOST_TEST(meters->value(metric::goodTokens, {{"class", "director"}}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
