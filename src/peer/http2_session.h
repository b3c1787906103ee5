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

/// A call as it travels: `POST path` with a protobuf body.
struct http2_request
{
    std::string path;
    std::string authorization; ///< Empty when the field is not sent.
    std::string body;
};

/// The answer to a call. Any status but 200 carries a result code and a text.
struct http2_response
{
    int status = 200;
    int code = 0;
    std::string detail;
    std::string body;
};

/// One side of an HTTP/2 connection without its socket: bytes go in and out as buffers.
class http2_session
{
public:
    using stream_id = std::int32_t;

    enum class role { client, server };

    /// Streams that carry more are reset.
    static constexpr std::size_t maxBodyBytes = 16U << 20;

    /// Called from within feed(). All functions may submit messages, none may call feed() or
    /// takeOutput(). Unused ones may be empty.
    struct events
    {
        std::function<bool(std::string_view authorization)> authorize; ///< Server side only.
        std::function<void(stream_id, http2_request)> onRequest;
        std::function<void(stream_id, http2_response)> onResponse;
        std::function<void(stream_id)> onStreamClosed;
        std::function<void()> onPong;
    };

    static result<std::unique_ptr<http2_session>> makeHttp2Session(role side, events functions);
    ~http2_session();

    http2_session(const http2_session &) = delete;
    http2_session &operator=(const http2_session &) = delete;

    /// Takes in received bytes. Fails with messageInvalid when the connection must be closed.
    result<void> feed(std::span<const std::uint8_t> bytes);

    /// Appends pending output to @p output until it holds @p limit bytes or nothing is left.
    result<void> takeOutput(std::string &output, std::size_t limit);

    /// Sends a request. Returns its stream, or a negative number when no stream is left.
    stream_id submitRequest(http2_request request);

    /// Answers the request on @p stream; does nothing when the stream is closed.
    void submitResponse(stream_id stream, http2_response response);

    /// Gives up @p stream.
    void reset(stream_id stream);

    /// Asks the other side for a sign of life.
    void ping();

    /// Whether both sides have agreed to end the connection.
    bool finished() const;

    struct state; ///< Named by the callbacks of the library.

private:
    explicit http2_session(std::unique_ptr<state> session);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
