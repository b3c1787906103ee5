#pragma once

#include "kernel/result.h"
#include "peer.pb.h"
#include "route/duty_calls.h"
#include "route/duty_holder.h"
#include "route/usage_counter.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Why the report of a window was not acknowledged in time.
enum class usage_obstacle {
    none, ///< No host held the duties in time.
    store, ///< The report could not be stored before it was sent.
    fence, ///< The platform has seen a newer fencing token.
    rate, ///< The platform limits the rate of calls.
    platform, ///< The platform gave no answer, or another error.
};

/// Name of an obstacle in logs and metrics.
std::string_view toString(usage_obstacle obstacle);

inline constexpr std::array usageObstacles{usage_obstacle::none, usage_obstacle::store,
                                           usage_obstacle::fence, usage_obstacle::rate,
                                           usage_obstacle::platform};

/// The duties as a reporter sees them; see duty_holder.
struct held_duties
{
    std::function<bool()> isHolder;
    std::function<wire::DutyRecord &()> record;
    std::function<boost::asio::awaitable<result<std::uint64_t>>()> commit;
    std::function<void()> yield;
    std::function<void(microseconds time)> expectCommit;
    std::function<std::uint64_t()> storeEpoch;
};

/// The duties of @p holder, which must outlive the result.
held_duties dutiesOf(duty_holder &holder);

/// While this host holds the duties, reports the usage of each window to the platform. The counts
/// of a window are stored as soon as they are complete, so that they outlive all hosts; a report is
/// stored before it is first sent and repeated exactly until it is acknowledged, by whichever host
/// holds the duties then.
class usage_reporter
{
public:
    using report_function = std::function<boost::asio::awaitable<result<void>>(
        usage_report report, std::uint64_t fence)>;

    struct options
    {
        usage_windows windows;
        milliseconds interval{250}; ///< Between two looks whether there is something to do.
        double callsPerSecond = 50; ///< That the platform takes from all hosts together.
        /// All that are declared, to report those without requests too.
        std::function<std::vector<std::string>()> organisations;
    };

    struct counts
    {
        std::uint64_t acknowledged = 0;
        std::uint64_t failedCalls = 0;
        std::array<std::uint64_t, usageObstacles.size()> missed{}; ///< Windows, by usage_obstacle.
    };

    static std::unique_ptr<usage_reporter>
    makeUsageReporter(boost::asio::io_context &context, usage_counter &counter, held_duties duties,
                      report_function report, options settings);
    ~usage_reporter();

    void start();
    void stop();

    counts numbers() const;

private:
    struct state;
    explicit usage_reporter(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
