#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"
#include "route/upstream_paths.h"
#include "route/wire_format.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quincefall {

/// How far a request had been sent when its answer ended, or has been by now.
enum class send_progress {
    pending, ///< Bytes are still to be written.
    failed, ///< The connection was lost before all were.
    sent, ///< All are written, and the upstream's system has not acknowledged the last ones.
    received, ///< The upstream's system has acknowledged all bytes.
};

/// For logs.
std::string_view toString(send_progress progress);

/// One request to an upstream and its answer.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    /// Makes a call to the upstream of @p entry without starting it.
    static std::shared_ptr<upstream_call> makeUpstreamCall(std::shared_ptr<upstream_paths> paths,
                                                           upstream_entry entry);
    ~upstream_call();

    /// The request. Its views must stay valid until the call is destroyed.
    struct message
    {
        std::string head;
        std::string_view body;
        /// Answers that echo another id are dropped. One without an id fails the call if the
        /// connection was used by earlier requests. No connection carries an id twice.
        std::string_view requestId;
        bool isNonRepeatable = false; ///< Avoids connections that may be closing.
        bool hasNoAnswerBody = false; ///< The method is HEAD.
        /// Start of the only process that may get the request, Unix time in milliseconds; 0 for
        /// any. Unless the connection is known to lead to it, the process is asked first.
        std::int64_t processStart = 0;
        /// Awaited once the connection is open; returns the head to send. If it is empty, `head`
        /// is sent.
        std::function<boost::asio::awaitable<std::string>()> makeHead;
    };

    /// Connects, sends and reads the head of the answer. The call times out at @p deadline. Fails
    /// with upstreamUnreachable when nothing was sent, and with streamVersionGone when nothing was
    /// since another process answers; after other failures the request may have arrived.
    boost::asio::awaitable<result<answer_head>> begin(message request, const wire_format &wire,
                                                      instant deadline);

    /// The next piece of the body; empty at its end. Fails when the connection ends before it.
    boost::asio::awaitable<result<std::string_view>> read();

    /// Calls @p mayGiveUp repeatedly once no byte has arrived for @p inactivityTimeout. Time in
    /// which this host did not run, or left bytes unread, does not count. If it returns true, the
    /// call fails with upstreamTimeout.
    void setInactivityTimeout(microseconds inactivityTimeout, std::function<bool()> mayGiveUp);

    /// Reads the rest of the body, so that the connection can be reused. Gives up on a body that is
    /// long or comes in many pieces; false then, or when the connection has ended.
    boost::asio::awaitable<bool> dropRest();

    /// Whether only the end of the connection ends the answer.
    bool endsWithConnection() const;

    /// Whether the head of the answer says that the connection ends with it.
    bool announcesEnd() const;

    /// The longest time for which bytes of the answer may have waited to be read, with more behind
    /// them than one read takes. Only then can the upstream have been kept from sending.
    microseconds longestUnread() const;

    /// Whether the request had a connection, of which some bytes may have arrived.
    bool isConnected() const;

    send_progress sendProgress() const;

    /// Whether the whole request has been written.
    bool hasSentRequest() const;

    /// Number of the connection among those that this host opened; 0 before it is known.
    std::uint64_t connectionNumber() const;

    /// Whether the connection was used by earlier requests.
    bool isReused() const;

    /// Number of answers to other requests that came before the one to this request.
    int otherAnswers() const;

    /// Whether the connection passes another host.
    bool isRelayed() const;

    /// Whether the upstream closed or reset the connection before its answer was complete.
    bool hasLostConnection() const;

    /// Whether the call reached its deadline because this host was late.
    bool isHostLate() const;

    /// Closes the connection; a pending operation fails with cancelled.
    void cancel();

    /// Ends the use of the request's views. Closes the connection if the request was not sent
    /// completely.
    void finish();

private:
    struct state;
    explicit upstream_call(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
