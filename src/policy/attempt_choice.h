#pragma once

#include "policy/placement.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace quincefall {

/// A request of which an attempt ended without an answer, or may be given up because its upstream
/// is silent.
struct further_attempt_request
{
    bool isRunning = false; ///< The attempt goes on if no other can follow.
    bool mayHaveRun = false; ///< In the attempt.
    bool isRepeatable = false;
    bool isHeldBack = false; ///< It may be what crashes its upstreams.
    bool isLinkFault = false; ///< The attempt runs over a link that was found cut.
    bool isTrickling = false; ///< Its upstream isn't silent, but brings nothing whole.
    bool isContinuable = true; ///< Another upstream can continue what the caller has.
    int runs = 0; ///< Attempts that may have run it, including this one.
    int maxRuns = 1; ///< That the route allows.
    std::size_t upstreamsTried = 0;
    microseconds timeLeft{0};
};

/// Upstreams for a further attempt.
struct further_upstreams
{
    std::size_t usable = 0; ///< Not tried yet, and accepting requests.
    std::size_t ofVersion = 0; ///< Of them, of the software version at which the stream began.
    std::size_t heard = 0; ///< Of them, not silent and not known to fail.
    std::size_t notSilent = 0; ///< As `heard`, but also those that are known to fail.
};

/// Why no further attempt may follow. The budget is asked last, by the caller.
enum class attempt_refusal {
    none,
    heldBack,
    route,
    position,
    tried,
    time,
    upstreams,
    version,
    silence,
    budget,
};

/// The upstreams that could run the request of @p wanted once more. One that has been silent for a
/// good part of @p silence, though it has requests of this host, is not counted as heard.
further_upstreams countFurtherUpstreams(service_pool &pool, const placement_request &wanted,
                                        const placement_site &site, fleet_load &others,
                                        microseconds silence, instant now);

/// Whether a further attempt may follow, apart from the budget. The same question decides whether a
/// running attempt is given up and whether another one follows one that has ended.
attempt_refusal refusalOfFurtherAttempt(const further_attempt_request &request,
                                        const further_upstreams &upstreams);

/// When a request last timed out in a silence that was shared, by the upstream's id.
using shared_silences = std::map<std::string, instant, std::less<>>;

/// Whether the silence of @p upstream, at which a request timed out, is one of all upstreams that
/// have requests of this host, and of more than one. Its cause is then hardly a fault of that
/// upstream. Records it in @p recent, since requests that time out together end one by one.
bool detectSharedSilence(shared_silences &recent, const service_pool &pool,
                         const routed_upstream &upstream, instant now);

/// The reason in a log line; "none" if an attempt may follow.
std::string_view toString(attempt_refusal refusal);

} // namespace quincefall
