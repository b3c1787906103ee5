#pragma once

#include "kernel/byte_budget.h"
#include "observe/metrics.h"
#include "policy/placement.h"
#include "route/crash_guard.h"
#include "route/liveness_probe.h"
#include "route/proxy_job.h"
#include "route/routing_state.h"
#include "route/stream_directory.h"
#include "route/upstream_call.h"
#include "route/upstream_paths.h"
#include "route/wire_format.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace quincefall {

/// Objects of the host that its attempts share.
struct attempt_context
{
    routing_state &state;
    const wire_format &wire;
    std::shared_ptr<upstream_paths> paths;
    clock_source clock;
    metrics &numbers;
    /// Reserves a further attempt for the job. The request says what is known of the attempt
    /// before; the rest is filled in. See countFurtherUpstreams() for the silence.
    std::function<attempt_refusal(proxy_job &, further_attempt_request, microseconds silence)>
        reserveFurtherAttempt;
    crash_guard guard;
    stream_directory *streams = nullptr; ///< Null until the host has one.
    std::function<void()> noticeListener; ///< Called when an upstream told something new of itself.
    /// Called with the organisation of each request that begins to run.
    std::function<void(const std::string &organisation)> runListener;
    shared_silences silences{};
    std::shared_ptr<byte_budget> answerBytes{}; ///< Of answers that are not passed on yet.
    std::shared_ptr<liveness_probes> probes{};
    bool trustsClosedEnds = false; ///< See run_end::isDeclared.
};

/// Sends the request to the chosen upstream and relays what it answers.
boost::asio::awaitable<attempt_end> runAttempt(attempt_context &context, proxy_job &job,
                                               placement chosen);

} // namespace quincefall
