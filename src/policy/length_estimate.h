#pragma once

#include "kernel/clock.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace quincefall {

/// Histogram on a logarithmic axis; old samples lose weight as new ones arrive.
using sample_histogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<double>>;

/// Statistics of the answers of one class by one model.
struct answer_samples
{
    sample_histogram tokens;
    sample_histogram firstTokenMs;
    double meanTokens = 0;
    double count = 0; ///< Total weight of the samples.
};

/// Estimates for future answers, by class and model.
struct length_estimates
{
    std::map<std::pair<std::string, std::string>, answer_samples> samples;
};

/// Records a complete answer.
void recordAnswer(length_estimates &estimates, std::string_view serviceClass,
                  std::string_view model, double tokens, microseconds timeToFirstToken);

/// Mean number of tokens per answer; @p fallback until enough answers are recorded.
double expectedTokens(const length_estimates &estimates, std::string_view serviceClass,
                      std::string_view model, double fallback);

/// Quantile @p quantile of the time from the start to the first token, rounded up to a bin of the
/// histogram; zero until enough answers are recorded.
microseconds timeToFirstToken(const length_estimates &estimates, std::string_view serviceClass,
                              std::string_view model, double quantile);

} // namespace quincefall
