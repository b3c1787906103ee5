#include "observe/metrics.h"

#include <boost/histogram.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <charconv>
#include <fstream>
#include <map>
#include <vector>

namespace quincefall {
namespace {

namespace hist = boost::histogram;

struct family_info
{
    metric family;
    std::string_view name;
    std::string_view type;
    std::string_view help;
};

constexpr std::array families{
    family_info{metric::answers, "quincefall_answers_total", "counter",
                "Chat answers by class and outcome."},
    family_info{metric::targetResults, "quincefall_target_results_total", "counter",
                "Complete answers that met or missed a latency target of their class."},
    family_info{metric::goodTokens, "quincefall_good_tokens_total", "counter",
                "Goodput: tokens of complete answers that met both targets of their class."},
    family_info{metric::tokens, "quincefall_tokens_total", "counter",
                "Tokens of complete answers."},
    family_info{metric::wastedTokens, "quincefall_wasted_tokens_total", "counter",
                "Tokens that engines made and no caller got whole, by cause."},
    family_info{metric::retries, "quincefall_retries_total", "counter",
                "Attempts that failed, by the code of the failure."},
    family_info{metric::sheds, "quincefall_sheds_total", "counter",
                "Requests refused by a queue, by result code."},
    family_info{metric::attemptsDenied, "quincefall_attempts_denied_total", "counter",
                "Failed attempts that no further one followed because the budget was used up."},
    family_info{metric::seamsRefused, "quincefall_stream_seams_refused_total", "counter",
                "Attempts that brought what can't be part of their stream."},
    family_info{metric::unframedAnswers, "quincefall_unframed_answers_total", "counter",
                "Answers of upstreams that only the end of their connection ended."},
    family_info{metric::unprovenEnds, "quincefall_unproven_ends_total", "counter",
                "Of them, those that were not taken for whole."},
    family_info{metric::crossRegionBytes, "quincefall_cross_region_bytes_total", "counter",
                "Bytes of answers from engines of another region."},
    family_info{metric::zoneRequests, "quincefall_zone_requests_total", "counter",
                "Attempts at upstreams of this failure domain, another one of the region, or "
                "another region, by the reason of the choice."},
    family_info{metric::zoneBytes, "quincefall_zone_bytes_total", "counter",
                "Bytes of requests and answers, by where their upstream is."},
    family_info{metric::queueWait, "quincefall_queue_wait_seconds", "histogram",
                "Time from asking for a permit to its grant."},
    family_info{metric::firstToken, "quincefall_first_token_seconds", "histogram",
                "Time from a request's arrival to its first token."},
    family_info{metric::answerTime, "quincefall_answer_seconds", "histogram",
                "Time from a request's arrival to the end of its answer."},
};

/// Histogram buckets from 1 ms to 60 s; each upper bound is 1.41 times the previous one.
constexpr double minBucketSeconds = 0.001;
constexpr double maxBucketSeconds = 60;
constexpr unsigned bucketCount = 32;

using axis_type = hist::axis::regular<double, hist::axis::transform::log>;
using histogram_type = decltype(hist::make_histogram(axis_type()));

struct histogram_sample
{
    histogram_type buckets
        = hist::make_histogram(axis_type(bucketCount, minBucketSeconds, maxBucketSeconds));
    double sum = 0;
    std::uint64_t count = 0;
};

const family_info &infoOf(metric family)
{
    const family_info &info = families.at(std::size_t(family));
    assert(info.family == family);
    return info;
}

/// Escapes a label's value as the text format requires.
std::string escapeLabelValue(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '\\' || character == '"')
            text += '\\';
        text += character;
    }
    return text;
}

std::string encodeLabels(metric_labels labels)
{
    std::string text;
    for (const metric_label &label : labels) {
        text += text.empty() ? "" : ",";
        text += std::string(label.name) + "=\"" + escapeLabelValue(label.value) + "\"";
    }
    return text;
}

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    const auto [end, failure] = std::to_chars(text.data(), text.data() + text.size(), value);
    return failure == std::errc() ? std::string(text.data(), end) : "NaN";
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void writeHeader(std::string &out, std::string_view name, std::string_view type,
                 std::string_view help)
{
    out += "# HELP " + std::string(name) + " " + std::string(help) + "\n";
    out += "# TYPE " + std::string(name) + " " + std::string(type) + "\n";
}

void writeSample(std::string &out, const std::string &name, const std::string &labels, double value)
{
    out += name + braced(labels) + " " + formatNumber(value) + "\n";
}

std::string leLabel(const std::string &bound)
{
    std::string label = "le=\"";
    label += bound;
    label += '"';
    return label;
}

void writeHistogram(std::string &out, const std::string &name, const std::string &labels,
                    const histogram_sample &sample)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    const auto &axis = sample.buckets.axis();
    double cumulativeCount = sample.buckets.at(-1);
    for (int index = 0; index < axis.size(); ++index) {
        cumulativeCount += sample.buckets.at(index);
        const std::string bound = formatNumber(axis.bin(index).upper());
        writeSample(out, name + "_bucket", prefix + leLabel(bound), cumulativeCount);
    }
    writeSample(out, name + "_bucket", prefix + leLabel("+Inf"), double(sample.count));
    writeSample(out, name + "_sum", labels, sample.sum);
    writeSample(out, name + "_count", labels, double(sample.count));
}

} // namespace

struct metrics::state
{
    std::map<metric, std::map<std::string, double>> counters;
    std::map<metric, std::map<std::string, histogram_sample>> histograms;
    std::vector<callback_metric> callbackMetrics;
};

std::unique_ptr<metrics> metrics::makeMetrics()
{
    return std::unique_ptr<metrics>(new metrics(std::make_unique<state>()));
}

metrics::metrics(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

metrics::~metrics() = default;

void metrics::add(metric family, metric_labels labels, double amount)
{
    m_state->counters[family][encodeLabels(labels)] += amount;
}

void metrics::observe(metric family, metric_labels labels, double value)
{
    histogram_sample &sample = m_state->histograms[family][encodeLabels(labels)];
    sample.buckets(value);
    sample.sum += value;
    ++sample.count;
}

double metrics::value(metric family, metric_labels labels) const
{
    const auto samples = m_state->counters.find(family);
    if (samples == m_state->counters.end())
        return 0;
    const auto sample = samples->second.find(encodeLabels(labels));
    return sample == samples->second.end() ? 0 : sample->second;
}

void metrics::addCallbackMetric(callback_metric value)
{
    m_state->callbackMetrics.push_back(std::move(value));
}

std::string metrics::render() const
{
    std::string out;
    for (const auto &[family, samples] : m_state->counters) {
        const family_info &info = infoOf(family);
        writeHeader(out, info.name, info.type, info.help);
        for (const auto &[labels, amount] : samples)
            writeSample(out, std::string(info.name), labels, amount);
    }
    for (const auto &[family, samples] : m_state->histograms) {
        const family_info &info = infoOf(family);
        writeHeader(out, info.name, info.type, info.help);
        for (const auto &[labels, sample] : samples)
            writeHistogram(out, std::string(info.name), labels, sample);
    }
    std::string previous;
    for (const callback_metric &value : m_state->callbackMetrics) {
        if (value.name != previous)
            writeHeader(out, value.name, value.type, value.help);
        previous = value.name;
        writeSample(out, value.name, value.labels, value.read());
    }
    return out;
}

double processCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto toSeconds
        = [](const timeval &time) { return double(time.tv_sec) + double(time.tv_usec) / 1e6; };
    return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

double processResidentBytes()
{
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    file >> pages >> pages;
    return pages * double(sysconf(_SC_PAGESIZE));
}

} // namespace quincefall
