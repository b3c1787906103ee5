#include "peer/http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>
#include <vector>

namespace quincefall {
namespace {

constexpr std::uint32_t streamWindowBytes = 16U << 20;
constexpr std::int32_t connectionWindowBytes = 1 << 30;
constexpr std::uint32_t maxConcurrentStreams = 100000;
constexpr std::uint64_t maxStreamResetsPerSecond = 100000; // Cancelled calls reset streams often.
constexpr std::size_t maxDetailBytes = 1024;

// HTTP requires an authority; header compression reduces a constant one to one byte.
constexpr std::string_view authority = "quincefall";
constexpr std::string_view resultCodeField = "x-result-code";
constexpr std::string_view detailField = "x-detail";

struct stream_state
{
    http2_request request;
    http2_response response;
    std::string output;
    std::size_t outputSent = 0;
    bool rejected = false;
};

/// A header field that refers to @p name and @p value. Both must stay valid until the submit call,
/// which copies them, returns.
nghttp2_nv makeField(std::string_view name, std::string_view value)
{
    // nghttp2 takes pointers to mutable bytes but does not write to them.
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

/// @p text as a field value: printable ASCII of bounded length without spaces around it.
std::string toFieldValue(std::string_view text)
{
    std::string value(text.substr(0, maxDetailBytes));
    const auto isUnprintable = [](char character) { return character < ' ' || character > '~'; };
    std::replace_if(value.begin(), value.end(), isUnprintable, '?');
    const std::size_t first = value.find_first_not_of(' ');
    if (first == std::string::npos)
        return {};
    return value.substr(first, value.find_last_not_of(' ') - first + 1);
}

int parseNumber(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

struct http2_session::state
{
    role side = role::client;
    events handlers;
    nghttp2_session *handle = nullptr;
    std::unordered_map<stream_id, stream_state> streams;
    bool authenticated = false;

    ~state() { nghttp2_session_del(handle); }

    stream_state *find(stream_id id)
    {
        const auto entry = streams.find(id);
        return entry == streams.end() ? nullptr : &entry->second;
    }

    /// Whether a request may run. Once a request with the right secret has authenticated the
    /// connection, later ones may leave the secret out. A wrong secret revokes the authentication.
    bool isAuthorized(const http2_request &request)
    {
        if (request.authorization.empty())
            return authenticated;
        authenticated = handlers.authorize && handlers.authorize(request.authorization);
        return authenticated;
    }

    void submitResponse(stream_id id, http2_response response);
    void storeHeader(stream_state &stream, std::string_view name, std::string_view value) const;
    void finishHeaders(stream_id id);
    void finishMessage(stream_id id);
};

void http2_session::state::storeHeader(stream_state &stream, std::string_view name,
                                       std::string_view value) const
{
    if (side == role::server) {
        if (name == ":path")
            stream.request.path = value;
        else if (name == "authorization")
            stream.request.authorization = value;
        return;
    }
    if (name == ":status")
        stream.response.status = parseNumber(value);
    else if (name == resultCodeField)
        stream.response.code = parseNumber(value);
    else if (name == detailField)
        stream.response.detail = value;
}

void http2_session::state::finishHeaders(stream_id id)
{
    stream_state *stream = find(id);
    if (side != role::server || stream == nullptr || isAuthorized(stream->request))
        return;
    stream->rejected = true;
    const auto code = static_cast<int>(result_code::peerRejected);
    submitResponse(id, {401, code, "the secret is missing or wrong", {}});
}

void http2_session::state::finishMessage(stream_id id)
{
    stream_state *stream = find(id);
    if (stream == nullptr || stream->rejected)
        return;
    if (side == role::server && handlers.onRequest)
        handlers.onRequest(id, std::move(stream->request));
    else if (side == role::client && handlers.onResponse)
        handlers.onResponse(id, std::move(stream->response));
}

namespace {

using session_state = http2_session::state;

session_state &stateOf(void *userData)
{
    return *static_cast<session_state *>(userData);
}

int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    // On a client, submitRequest() adds the stream.
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        stateOf(userData).streams[frame->hd.stream_id];
    return 0;
}

int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
             std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize, std::uint8_t,
             void *userData)
{
    stream_state *stream = stateOf(userData).find(frame->hd.stream_id);
    if (stream == nullptr)
        return 0;
    const std::string_view nameText(reinterpret_cast<const char *>(name), nameSize);
    const std::string_view valueText(reinterpret_cast<const char *>(value), valueSize);
    stateOf(userData).storeHeader(*stream, nameText, valueText);
    return 0;
}

int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    session_state &session = stateOf(userData);
    const bool streamEnded = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
        if (session.handlers.onPong)
            session.handlers.onPong();
        return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        session.finishHeaders(frame->hd.stream_id);
    const bool carriesMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (carriesMessage && streamEnded)
        session.finishMessage(frame->hd.stream_id);
    return 0;
}

int onFrameSent(nghttp2_session *handle, const nghttp2_frame *frame, void *userData)
{
    const stream_state *stream = stateOf(userData).find(frame->hd.stream_id);
    if (frame->hd.type != NGHTTP2_HEADERS || stream == nullptr || !stream->rejected)
        return 0;
    // The rejection has been sent; the rest of the request is not needed.
    return nghttp2_submit_rst_stream(handle, NGHTTP2_FLAG_NONE, frame->hd.stream_id,
                                     NGHTTP2_NO_ERROR);
}

int onDataChunk(nghttp2_session *handle, std::uint8_t, std::int32_t id, const std::uint8_t *bytes,
                std::size_t size, void *userData)
{
    session_state &session = stateOf(userData);
    stream_state *stream = session.find(id);
    if (stream == nullptr || stream->rejected)
        return 0;
    const bool isServer = session.side == http2_session::role::server;
    std::string &body = isServer ? stream->request.body : stream->response.body;
    if (body.size() + size > http2_session::maxBodyBytes) {
        stream->rejected = true;
        body = {};
        return nghttp2_submit_rst_stream(handle, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    }
    body.append(reinterpret_cast<const char *>(bytes), size);
    return 0;
}

int onStreamClosed(nghttp2_session *, std::int32_t id, std::uint32_t, void *userData)
{
    session_state &session = stateOf(userData);
    session.streams.erase(id);
    if (session.handlers.onStreamClosed)
        session.handlers.onStreamClosed(id);
    return 0;
}

ssize_t readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buffer, std::size_t size,
                 std::uint32_t *flags, nghttp2_data_source *, void *userData)
{
    stream_state *stream = stateOf(userData).find(id);
    if (stream == nullptr)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t count = std::min(size, stream->output.size() - stream->outputSent);
    std::copy_n(stream->output.data() + stream->outputSent, count, buffer);
    stream->outputSent += count;
    if (stream->outputSent == stream->output.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

nghttp2_data_provider bodyProvider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = readBody;
    return provider;
}

nghttp2_session *makeHandle(http2_session::role side, session_state &session)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_option *options = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0)
        return nullptr;
    if (nghttp2_option_new(&options) != 0) {
        nghttp2_session_callbacks_del(callbacks);
        return nullptr;
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    nghttp2_option_set_peer_max_concurrent_streams(options, maxConcurrentStreams);
    nghttp2_option_set_stream_reset_rate_limit(options, maxStreamResetsPerSecond,
                                               maxStreamResetsPerSecond);
    nghttp2_session *handle = nullptr;
    if (side == http2_session::role::client)
        nghttp2_session_client_new2(&handle, callbacks, &session, options);
    else
        nghttp2_session_server_new2(&handle, callbacks, &session, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    return handle;
}

bool submitSettings(nghttp2_session *handle)
{
    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    const int submitted
        = nghttp2_submit_settings(handle, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    const int widened = nghttp2_session_set_local_window_size(handle, NGHTTP2_FLAG_NONE, 0,
                                                              connectionWindowBytes);
    return submitted == 0 && widened == 0;
}

} // namespace

result<std::unique_ptr<http2_session>> http2_session::makeHttp2Session(role side, events handlers)
{
    auto session = std::make_unique<state>();
    session->side = side;
    session->handlers = std::move(handlers);
    session->handle = makeHandle(side, *session);
    if (session->handle == nullptr || !submitSettings(session->handle))
        return makeError(result_code::internal, "cannot create the HTTP/2 session");
    return std::unique_ptr<http2_session>(new http2_session(std::move(session)));
}

http2_session::http2_session(std::unique_ptr<state> session)
    : m_state(std::move(session))
{
}

http2_session::~http2_session() = default;

result<void> http2_session::feed(std::span<const std::uint8_t> bytes)
{
    const ssize_t taken = nghttp2_session_mem_recv(m_state->handle, bytes.data(), bytes.size());
    if (taken < 0)
        return makeError(result_code::messageInvalid, nghttp2_strerror(static_cast<int>(taken)));
    return {};
}

result<void> http2_session::takeOutput(std::string &output, std::size_t limit)
{
    while (output.size() < limit) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_state->handle, &bytes);
        if (size < 0)
            return makeError(result_code::internal, nghttp2_strerror(static_cast<int>(size)));
        if (size == 0)
            break;
        output.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(size));
    }
    return {};
}

http2_session::stream_id http2_session::submitRequest(http2_request request)
{
    std::vector<nghttp2_nv> fields{
        makeField(":method", "POST"),
        makeField(":scheme", "http"),
        makeField(":authority", authority),
        makeField(":path", request.path),
    };
    if (!request.authorization.empty())
        fields.push_back(makeField("authorization", request.authorization));
    const nghttp2_data_provider provider = bodyProvider();
    const stream_id id
        = nghttp2_submit_request(m_state->handle, nullptr, fields.data(), fields.size(),
                                 request.body.empty() ? nullptr : &provider, nullptr);
    if (id > 0)
        m_state->streams[id].output = std::move(request.body);
    return id;
}

void http2_session::state::submitResponse(stream_id id, http2_response response)
{
    stream_state *stream = find(id);
    if (stream == nullptr)
        return;
    const std::string status = std::to_string(response.status);
    const std::string code = std::to_string(response.code);
    const std::string detail = toFieldValue(response.detail);
    std::vector<nghttp2_nv> fields{makeField(":status", status)};
    if (response.status != 200) {
        fields.push_back(makeField(resultCodeField, code));
        fields.push_back(makeField(detailField, detail));
    }
    stream->output = std::move(response.body);
    const nghttp2_data_provider provider = bodyProvider();
    nghttp2_submit_response(handle, id, fields.data(), fields.size(),
                            stream->output.empty() ? nullptr : &provider);
}

void http2_session::submitResponse(stream_id stream, http2_response response)
{
    m_state->submitResponse(stream, std::move(response));
}

void http2_session::reset(stream_id stream)
{
    nghttp2_submit_rst_stream(m_state->handle, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
}

void http2_session::ping()
{
    nghttp2_submit_ping(m_state->handle, NGHTTP2_FLAG_NONE, nullptr);
}

bool http2_session::isFinished() const
{
    return nghttp2_session_want_read(m_state->handle) == 0
        && nghttp2_session_want_write(m_state->handle) == 0;
}

} // namespace quincefall
