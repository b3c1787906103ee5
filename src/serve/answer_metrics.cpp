#include "serve/answer_metrics.h"

#include "observe/metrics.h"

namespace quincefall {
namespace {

constexpr double microsecondsPerSecond = 1e6;

void recordTargetResult(metrics &meters, const answer_summary &summary, const char *target,
                        bool isMet)
{
    meters.add(
        metric::targetResults,
        {{"class", summary.serviceClass}, {"target", target}, {"met", isMet ? "yes" : "no"}});
}

void recordCompleteAnswer(metrics &meters, const answer_summary &summary)
{
    const bool isFirstMet = meetsFirstTokenTarget(summary);
    const bool isGapMet = meetsTokenGapTarget(summary);
    recordTargetResult(meters, summary, "first_token", isFirstMet);
    recordTargetResult(meters, summary, "token_gap", isGapMet);
    meters.add(metric::tokens, {{"class", summary.serviceClass}}, summary.tokens);
    if (isFirstMet && isGapMet)
        meters.add(metric::goodTokens, {{"class", summary.serviceClass}}, summary.tokens);
}

} // namespace

const char *toString(answer_summary::outcome result)
{
    switch (result) {
    case answer_summary::outcome::complete:
        return "complete";
    case answer_summary::outcome::failed:
        return "failed";
    case answer_summary::outcome::refused:
        return "refused";
    case answer_summary::outcome::abandoned:
        return "abandoned";
    }
    return "failed";
}

microseconds meanTokenGap(const answer_summary &summary)
{
    if (!summary.timeToFirstToken || summary.tokens < 2)
        return microseconds(0);
    return (summary.total - *summary.timeToFirstToken) / (summary.tokens - 1);
}

bool meetsFirstTokenTarget(const answer_summary &summary)
{
    return summary.timeToFirstToken && *summary.timeToFirstToken <= summary.policy.firstTokenTarget;
}

bool meetsTokenGapTarget(const answer_summary &summary)
{
    return meanTokenGap(summary) <= summary.policy.tokenGapTarget;
}

void recordAnswerMetrics(metrics &meters, const answer_summary &summary)
{
    meters.add(metric::answers,
               {{"class", summary.serviceClass}, {"outcome", toString(summary.result)}});
    if (summary.timeToFirstToken)
        meters.observe(metric::firstToken, {{"class", summary.serviceClass}},
                       double(summary.timeToFirstToken->count()) / microsecondsPerSecond);
    if (summary.result == answer_summary::outcome::complete)
        recordCompleteAnswer(meters, summary);
    else if (summary.tokens > 0)
        meters.add(metric::wastedTokens, {{"cause", toString(summary.result)}}, summary.tokens);
    if (summary.droppedTokens > 0)
        meters.add(metric::wastedTokens, {{"cause", "dropped"}}, double(summary.droppedTokens));
}

} // namespace quincefall
