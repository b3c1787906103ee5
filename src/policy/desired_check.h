#pragma once

#include "policy/desired_state.h"

#include <string>
#include <vector>

namespace quincefall {

/// How a finding in a desired state is meant.
enum class finding_level {
    error, ///< Requests would fail, or the state would not take effect.
    warning, ///< An entry has no effect, or limits contradict each other.
};

/// Something that an operator should know before a desired state is sent.
struct desired_finding
{
    finding_level level = finding_level::error;
    std::string entry; ///< Such as `route "r-1"`.
    std::string text;
};

/// Findings in a desired state: entries that can never match, references to nothing, and limits
/// that contradict each other.
std::vector<desired_finding> checkDesired(const desired_state &desired);

/// Lines that tell how @p next differs from @p inForce. API keys are counted, not shown.
std::vector<std::string> compareDesired(const desired_state &inForce, const desired_state &next);

} // namespace quincefall
