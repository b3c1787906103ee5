#pragma once

#include "cli/verbs.h"
#include "clients/http_client.h"
#include "kernel/address.h"

#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Client of the operator API. Tries the hosts given by --host in order until one answers.
class operator_client
{
public:
    /// Reads --host and --key; prints an error and returns null when one is missing or invalid.
    static std::unique_ptr<operator_client> makeFromFlags();
    ~operator_client();

    /// Sends one request and waits for the response. Every operator call is safe to repeat, so the
    /// request is sent to the next host whenever one does not answer. When no host answers, fails
    /// with writeUnknown if a write may have arrived, and with upstreamUnreachable otherwise.
    result<http_response> send(std::string method, std::string target, std::string body = {},
                               std::vector<http_header> headers = {});

    /// Reads lines from @p target until @p onLine returns false or the connection ends. Tries the
    /// next host only when one is unreachable.
    result<void> follow(const std::string &target,
                        const std::function<bool(std::string_view line)> &onLine);

    std::size_t hostCount() const;

private:
    struct state;
    explicit operator_client(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// Parses the body of @p response as JSON; null when it is not valid.
boost::json::value parseBody(const http_response &response);

/// Prints a failed call or an error response to stderr and returns the exit code for it.
exit_code reportFailure(const error &failure);
exit_code reportRefusal(const http_response &response);

/// Percent-encodes @p text for use in a URL.
std::string percentEncoded(std::string_view text);

/// A unique operation id: the user's name and a random 64-bit number.
std::string makeOperationId();

} // namespace quincefall
