#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quincefall {

/// Names of the metric families; docs/OPERATIONS.md explains them.
enum class metric {
    answers, ///< Labels class, outcome.
    targetResults, ///< Labels class, target, met.
    goodTokens, ///< Label class.
    tokens, ///< Label class.
    wastedTokens, ///< Label cause.
    retries, ///< Label cause.
    sheds, ///< Label code.
    crossRegionBytes,
    queueWait, ///< Histogram in seconds; label class.
    firstToken, ///< Histogram in seconds; label class.
    answerTime, ///< Histogram in seconds; label class.
};

/// One label of a sample, such as {"class", "director"}.
struct metric_label
{
    std::string_view name;
    std::string_view value;
};

using metric_labels = std::initializer_list<metric_label>;

/// The counters and histograms of one process, rendered in the Prometheus text format 0.0.4.
class metrics
{
public:
    static std::unique_ptr<metrics> makeMetrics();
    ~metrics();

    /// Adds @p amount to a counter.
    void add(metric family, metric_labels labels, double amount = 1);

    /// Takes @p value, in seconds, into a histogram.
    void observe(metric family, metric_labels labels, double value);

    /// Value of a counter; 0 when it was never added to.
    double value(metric family, metric_labels labels) const;

    /// A value read at each rendering. @p type is "gauge" or "counter"; @p labels is empty or such
    /// as `direction="sent"`.
    struct callback_metric
    {
        std::string name;
        std::string type;
        std::string help;
        std::string labels;
        std::function<double()> read;
    };
    void addCallbackMetric(callback_metric value);

    /// All families that have samples, with HELP and TYPE.
    std::string render() const;

private:
    struct state;
    explicit metrics(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// Processor time of this process in user and kernel mode.
double processCpuSeconds();

/// Resident memory of this process.
double processResidentBytes();

} // namespace quincefall
