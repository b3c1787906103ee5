#pragma once

#include "kernel/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace quincefall {

/// A call as an HTTP/2 request: `POST path` with a protobuf body.
struct http2_request
{
    std::string path;
    std::string authorization; ///< Empty when the field is not sent.
    std::string body;
};

/// The response to a call. With any status other than 200, `code` is the result code and `detail`
/// describes the error.
struct http2_response
{
    int status = 200;
    int code = 0;
    std::string detail;
    std::string body;
};

/// One side of an HTTP/2 connection, without the socket: feed() takes the bytes received and
/// takeOutput() returns the bytes to send.
class http2_session
{
public:
    using stream_id = std::int32_t;

    enum class role { client, server };

    /// Streams with a larger request or response body are reset.
    static constexpr std::size_t maxBodyBytes = 16U << 20;

    /// Handlers called from within feed(). They may submit messages but must not call feed() or
    /// takeOutput(). Unused handlers may be empty.
    struct events
    {
        std::function<bool(std::string_view authorization)> authorize; ///< Server side only.
        std::function<void(stream_id, http2_request)> onRequest;
        std::function<void(stream_id, http2_response)> onResponse;
        std::function<void(stream_id)> onStreamClosed;
        std::function<void()> onPong;
    };

    static result<std::unique_ptr<http2_session>> makeHttp2Session(role side, events handlers);
    ~http2_session();

    http2_session(const http2_session &) = delete;
    http2_session &operator=(const http2_session &) = delete;

    /// Processes received bytes. Fails with messageInvalid when the connection must be closed.
    result<void> feed(std::span<const std::uint8_t> bytes);

    /// Appends pending output to @p output until it holds @p limit bytes or nothing is left.
    result<void> takeOutput(std::string &output, std::size_t limit);

    /// Queues a request. Returns its stream, or a negative number when no stream ID is left.
    stream_id submitRequest(http2_request request);

    /// Queues the response to the request on @p stream; does nothing when the stream is closed.
    void submitResponse(stream_id stream, http2_response response);

    /// Queues a reset of @p stream with the error code CANCEL.
    void reset(stream_id stream);

    /// Queues a PING frame. `onPong` is called when the other side acknowledges it.
    void ping();

    /// Whether the session is over: it expects no more input and has no more output.
    bool isFinished() const;

    struct state; ///< Public for the callbacks that are passed to nghttp2.

private:
    explicit http2_session(std::unique_ptr<state> session);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
