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

/// Samples on a logarithmic axis; old ones lose weight as new ones come.
using sample_histogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<double>>;

/// What was seen of the answers of one class by one model.
struct answer_samples
{
    sample_histogram tokens;
    sample_histogram firstTokenMs;
    double meanTokens = 0;
    double count = 0; ///< Weight of the samples.
};

/// Estimates of answers that are not made yet, by class and model.
struct length_estimates
{
    std::map<std::pair<std::string, std::string>, answer_samples> samples;
};

/// Records a complete answer.
void recordAnswer(length_estimates &estimates, std::string_view serviceClass,
                  std::string_view model, double tokens, microseconds firstToken);

/// Mean number of tokens; @p fallback until enough answers were seen.
double expectedTokens(const length_estimates &estimates, std::string_view serviceClass,
                      std::string_view model, double fallback);

/// Time from the start to the first token that the share @p quantile of answers keeps; zero until
/// enough answers were seen.
microseconds firstTokenTime(const length_estimates &estimates, std::string_view serviceClass,
                            std::string_view model, double quantile);

} // namespace quincefall
