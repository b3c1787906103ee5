#pragma once

#include "kernel/result.h"
#include "ledger/config_state.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace quincefall {

/// Who sent a request and with which priority it runs.
struct caller_identity
{
    std::string organisation;
    std::string serviceClass;
    service_class policy;
};

/// Finds the organisation of a bearer key. Keys are kept and compared as SHA-256 digests only, so
/// that the time of a look-up tells nothing about a key.
class caller_directory
{
public:
    /// Indexes the organisations of @p config.
    static caller_directory makeCallerDirectory(const config_state &config);

    /// Identifies a caller by its Authorization header and the class it asks for, which may be
    /// empty. Fails with unauthenticated or forbidden.
    result<caller_identity> identify(const config_state &config, std::string_view authorization,
                                     std::string_view wantedClass) const;

private:
    std::unordered_map<std::string, std::string> m_organisations; ///< By key digest.
};

/// SHA-256 of @p text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Compares secrets in a time that does not depend on their contents.
bool equalSecrets(std::string_view left, std::string_view right);

} // namespace quincefall
