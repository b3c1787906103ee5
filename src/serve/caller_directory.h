#pragma once

#include "kernel/result.h"
#include "ledger/config_state.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace quincefall {

/// The organisation that sent a request and the service class of the request.
struct caller_identity
{
    std::string organisation;
    std::string serviceClass;
    service_class policy;
};

/// Maps bearer keys to organisations. Keys are stored and looked up as SHA-256 digests only, so
/// that the duration of a look-up reveals nothing about a key.
class caller_directory
{
public:
    /// Indexes the key digests of all organisations in @p config.
    static caller_directory makeCallerDirectory(const config_state &config);

    /// Identifies a caller by its Authorization header and the requested service class; an empty
    /// class selects the organisation's default. Fails with unauthenticated or forbidden.
    result<caller_identity> identify(const config_state &config, std::string_view authorization,
                                     std::string_view requestedClass) const;

private:
    std::unordered_map<std::string, std::string> m_organisations; ///< Organisation by key digest.
};

/// SHA-256 of @p text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Compares secrets in constant time with respect to their contents.
bool equalSecrets(std::string_view left, std::string_view right);

} // namespace quincefall
