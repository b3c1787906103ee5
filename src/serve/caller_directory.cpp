#include "serve/caller_directory.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace quincefall {
namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest sha256(std::string_view text)
{
    digest bytes{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), bytes.data());
    return bytes;
}

bool isClassAllowed(const organisation &customer, std::string_view name)
{
    const auto &allowed = customer.classes;
    return name == customer.defaultClass
        || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    const digest bytes = sha256(text);
    std::string hex;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(hex));
    return hex;
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    const digest leftDigest = sha256(left);
    const digest rightDigest = sha256(right);
    return CRYPTO_memcmp(leftDigest.data(), rightDigest.data(), leftDigest.size()) == 0;
}

caller_directory caller_directory::makeCallerDirectory(const config_state &config)
{
    caller_directory directory;
    for (const auto &[key, stored] : config.resources) {
        const auto *customer = std::get_if<organisation>(&stored.spec);
        if (customer == nullptr)
            continue;
        for (const std::string &hash : customer->keyHashes)
            directory.m_organisations[hash] = key.name;
    }
    return directory;
}

result<caller_identity> caller_directory::identify(const config_state &config,
                                                   std::string_view authorization,
                                                   std::string_view requestedClass) const
{
    if (!authorization.starts_with(bearerPrefix))
        return makeError(result_code::unauthenticated, "the request has no bearer key");
    const auto entry = m_organisations.find(sha256Hex(authorization.substr(bearerPrefix.size())));
    if (entry == m_organisations.end())
        return makeError(result_code::unauthenticated, "the bearer key is unknown");
    caller_identity caller;
    caller.organisation = entry->second;
    const auto *customer
        = findSpec<organisation>(config, resource_kind::organisation, caller.organisation);
    if (customer == nullptr)
        return makeError(result_code::unauthenticated, "the bearer key is unknown");
    caller.serviceClass
        = requestedClass.empty() ? customer->defaultClass : std::string(requestedClass);
    const auto *policy
        = findSpec<service_class>(config, resource_kind::serviceClass, caller.serviceClass);
    if (policy == nullptr || !isClassAllowed(*customer, caller.serviceClass))
        return makeError(result_code::forbidden,
                         "the organisation may not use class \"" + caller.serviceClass + "\"");
    caller.policy = *policy;
    return caller;
}

} // namespace quincefall
