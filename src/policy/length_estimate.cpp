#include "policy/length_estimate.h"

#include <boost/histogram/algorithm/sum.hpp>

#include <algorithm>

namespace quincefall {
namespace {

constexpr double minSamples = 10;
constexpr double maxWeight = 2000; // At this total weight the weight of all samples is halved.
constexpr unsigned binCount = 60;
constexpr double axisMax = 1e6;

sample_histogram makeSamples()
{
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    return sample_histogram(std::make_tuple(axis(binCount, 1.0, axisMax)));
}

answer_samples makeAnswerSamples()
{
    return {makeSamples(), makeSamples(), 0, 0};
}

const answer_samples *findSamples(const length_estimates &estimates, std::string_view serviceClass,
                                  std::string_view model)
{
    const auto found = estimates.samples.find({std::string(serviceClass), std::string(model)});
    if (found == estimates.samples.end() || found->second.count < minSamples)
        return nullptr;
    return &found->second;
}

/// Upper edge of the bin in which the quantile lies.
double quantileOf(const sample_histogram &histogram, double quantile)
{
    const double targetWeight = quantile * boost::histogram::algorithm::sum(histogram);
    double cumulativeWeight = 0;
    double edge = 0;
    const auto &axis = histogram.axis();
    for (int bin = 0; bin < axis.size() && cumulativeWeight < targetWeight; ++bin) {
        cumulativeWeight += histogram.at(bin);
        edge = axis.bin(bin).upper();
    }
    return edge;
}

} // namespace

void recordAnswer(length_estimates &estimates, std::string_view serviceClass,
                  std::string_view model, double tokens, microseconds timeToFirstToken)
{
    const std::pair key{std::string(serviceClass), std::string(model)};
    auto found = estimates.samples.find(key);
    if (found == estimates.samples.end())
        found = estimates.samples.emplace(key, makeAnswerSamples()).first;
    answer_samples &samples = found->second;
    samples.tokens(std::max(1.0, tokens));
    samples.firstTokenMs(std::max(1.0, toMilliseconds(timeToFirstToken)));
    samples.count += 1;
    samples.meanTokens += (tokens - samples.meanTokens) / samples.count;
    if (samples.count < maxWeight)
        return;
    samples.tokens *= 0.5;
    samples.firstTokenMs *= 0.5;
    samples.count *= 0.5;
}

double expectedTokens(const length_estimates &estimates, std::string_view serviceClass,
                      std::string_view model, double fallback)
{
    const answer_samples *samples = findSamples(estimates, serviceClass, model);
    return samples == nullptr ? fallback : samples->meanTokens;
}

microseconds timeToFirstToken(const length_estimates &estimates, std::string_view serviceClass,
                              std::string_view model, double quantile)
{
    const answer_samples *samples = findSamples(estimates, serviceClass, model);
    if (samples == nullptr)
        return microseconds(0);
    const double time = quantileOf(samples->firstTokenMs, quantile);
    return microseconds(static_cast<std::int64_t>(time * 1000));
}

} // namespace quincefall
