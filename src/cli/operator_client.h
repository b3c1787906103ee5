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

/// Calls the operator API of the first host that answers, out of those given by --host.
class operator_client
{
public:
    /// Reads --host and --key; prints what is wrong with them and returns null.
    static std::unique_ptr<operator_client> makeFromFlags();
    ~operator_client();

    /// Sends one request and waits for its answer. Every operator call may be repeated, so the next
    /// host is asked whenever one gives no answer. Fails with upstreamUnreachable when no request
    /// left this process and with writeUnknown when one may have arrived.
    result<http_response> send(std::string method, std::string target, std::string body = {},
                               std::vector<http_header> headers = {});

    /// Reads lines from @p target until @p take returns false or the connection ends.
    result<void> follow(const std::string &target,
                        const std::function<bool(std::string_view line)> &take);

    std::size_t hostCount() const;

private:
    struct state;
    explicit operator_client(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// JSON of an answer's body; null when it is none.
boost::json::value parseBody(const http_response &reply);

/// Prints a failed call or a refusal to the error output and returns the exit code for it.
exit_code reportFailure(const error &failure);
exit_code reportRefusal(const http_response &reply);

/// @p text as a part of a URL.
std::string percentEncoded(std::string_view text);

/// An operation id that nobody else uses: the user's name and a random number.
std::string makeOperationId();

} // namespace quincefall
