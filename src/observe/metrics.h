#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quincefall {

/// Metric families; docs/OPERATIONS.md explains them.
enum class metric {
    answers, ///< Labels class, outcome.
    targetResults, ///< Labels class, target, met.
    goodTokens, ///< Label class.
    tokens, ///< Label class.
    wastedTokens, ///< Label cause.
    retries, ///< Label cause.
    sheds, ///< Label code.
    attemptsDenied, ///< Label service.
    seamsRefused, ///< Label service.
    unframedAnswers, ///< Label service.
    unprovenEnds, ///< Label service.
    crossRegionBytes,
    zoneRequests, ///< Labels destination, reason.
    zoneBytes, ///< Label destination.
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

    /// Records @p value, in seconds, in a histogram.
    void observe(metric family, metric_labels labels, double value);

    /// Current value of a counter; 0 when nothing has been added to it.
    double value(metric family, metric_labels labels) const;

    /// A metric whose value is read by a callback at each render(). `type` is "gauge" or "counter";
    /// `labels` is empty or in the text format, such as `direction="sent"`.
    struct callback_metric
    {
        std::string name;
        std::string type;
        std::string help;
        std::string labels;
        std::function<double()> read;
    };

    /// Adds a callback metric. Metrics of the same name must be added consecutively, since render()
    /// writes HELP and TYPE whenever the name changes.
    void addCallbackMetric(callback_metric value);

    /// Renders all families that have samples, with HELP and TYPE.
    std::string render() const;

private:
    struct state;
    explicit metrics(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// CPU time of this process in user and kernel mode, in seconds.
double processCpuSeconds();

/// Resident memory of this process, in bytes.
double processResidentBytes();

} // namespace quincefall
