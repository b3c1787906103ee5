#include "route/upstream_call.h"

#include "clients/buffered_body.h"
#include "clients/message_framing.h"
#include "clients/send_queue.h"
#include "kernel/asio_headers.h"
#include "policy/answer_owner.h"
#include "route/report_call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Shorter than the 1 s after which TCP resends a lost SYN.
constexpr milliseconds connectTimeout{400};
// Of a report, which needs no place at the upstream. Sound ones are silent for a second or so.
constexpr milliseconds reportTimeout{1'500};
constexpr int maxReports = 3;
constexpr milliseconds defaultKeepAlive{2'000}; // When an upstream gives no limit.
// Calls that must not be repeated reuse a connection only during this share of its idle limit: when
// the upstream closes the connection, they can't be sent again.
constexpr double nonRepeatableKeepAliveShare = 0.35;
constexpr std::size_t readBufferBytes = 16'384;
// Of a head, a chunk's extension or a trailer, none of which the parser reads in parts.
constexpr std::size_t maxUnparsedBytes = 32'768;
constexpr std::uint64_t maxAnswerBytes = 64ULL * 1024 * 1024;
// The timer fires this often within an inactivity timeout. What it is late by is time in which the
// host did not run, and so did not see bytes that arrived.
constexpr int checksPerTimeout = 4;
// Delay of a timer that shows that the host did not run.
constexpr milliseconds minHostDelay{200};
// Time for bytes that have arrived already to be read.
constexpr milliseconds unreadTime{5};
// Of a body that nobody needs; a new connection costs less than reading more.
constexpr std::size_t maxDroppedBytes = 65'536;
constexpr int maxDroppedPieces = 16;
// Answers before the one to this request: interim ones, and late ones to earlier requests.
constexpr int maxDroppedAnswers = 16;

std::vector<http_header> fieldsOf(const answer_parser &parser)
{
    std::vector<http_header> fields;
    for (const auto &field : parser.get())
        fields.emplace_back(field.name_string(), field.value());
    return fields;
}

bool isInterim(int status)
{
    return status < 200;
}

bool isConnectionLoss(const boost::system::error_code &code)
{
    return code == http::error::end_of_stream || code == http::error::partial_message
        || code == asio::error::eof || code == asio::error::connection_reset
        || code == asio::error::connection_aborted || code == asio::error::broken_pipe;
}

} // namespace

std::string_view toString(send_progress progress)
{
    switch (progress) {
    case send_progress::sent:
        return "sent";
    case send_progress::received:
        return "received";
    case send_progress::failed:
        return "failed";
    case send_progress::pending:
        break;
    }
    return "pending";
}

struct upstream_call::state
{
    state(std::shared_ptr<upstream_paths> connections, upstream_entry target)
        : paths(std::move(connections))
        , entry(std::move(target))
        , timer(paths->context())
    {
    }

    std::shared_ptr<upstream_paths> paths;
    upstream_entry entry;
    connection_ptr connection;
    asio::steady_timer timer;
    std::optional<answer_parser> parser;
    beast::flat_buffer buffer{maxUnparsedBytes};
    std::array<char, readBufferBytes> piece{};
    message request;
    milliseconds keepAlive = defaultKeepAlive;
    instant deadline = instant::max();
    instant lastByteAt{};
    instant lastReadAt{}; ///< When bytes were read last.
    microseconds longestUnread{0};
    microseconds inactivityTimeout{0};
    std::function<bool()> mayGiveUp;
    bool isWriting = false;
    boost::system::error_code writeFailure; ///< Why the request was not sent completely.
    bool hasUnacknowledged = false; ///< Bytes of the request, when the connection ended the answer.
    bool isReading = false;
    bool hasWaitedForRead = false; ///< Of bytes that were there when the time was up.
    bool isHostLate = false; ///< At the deadline, this host had not read what had arrived.
    bool isTimedOut = false;
    bool isCancelled = false;
    bool isFinished = false;
    bool hasLostConnection = false;
    bool isRelayed = false;
    std::shared_ptr<void> linkWatch; ///< Of a direct connection.
    bool hasHead = false; ///< Of the answer to this request.
    bool hasCarriedRequest = false; ///< The connection was used by earlier requests.
    int otherAnswers = 0; ///< Answers to other requests, which came on the connection.
    std::uint64_t connectionNumber = 0; ///< 0 until there is a connection.

    instant inactivityDeadline() const
    {
        return mayGiveUp ? lastByteAt + inactivityTimeout : instant::max();
    }

    void cut()
    {
        boost::system::error_code ignored;
        if (connection)
            connection->socket.close(ignored);
    }

    void noteBytes()
    {
        const instant now = steadyNow();
        if (lastReadAt != instant{} && hasUnreadBytes())
            longestUnread = std::max(longestUnread, now - lastReadAt);
        lastReadAt = now;
        lastByteAt = now;
        hasWaitedForRead = false;
    }

    bool hasUnreadBytes() const
    {
        boost::system::error_code ignored;
        return connection && connection->socket.available(ignored) > 0;
    }

    /// Starts the timer for the earlier of the deadline and @p time.
    void armTimer(const std::shared_ptr<upstream_call> &call, instant time)
    {
        timer.expires_at(std::min(deadline, time));
        timer.async_wait([weak = std::weak_ptr(call)](const boost::system::error_code &code) {
            const auto alive = weak.lock();
            if (code || !alive || alive->m_state->isFinished)
                return;
            alive->m_state->checkTime(alive);
        });
    }

    void armTimer(const std::shared_ptr<upstream_call> &call)
    {
        const instant now = steadyNow();
        const instant next = now + inactivityTimeout / checksPerTimeout;
        const instant due = inactivityDeadline();
        const instant check = due > now ? std::min(due, next) : next;
        armTimer(call, mayGiveUp ? check : instant::max());
    }

    void checkTime(const std::shared_ptr<upstream_call> &call)
    {
        const instant now = steadyNow();
        const auto late = std::chrono::duration_cast<microseconds>(now - timer.expiry());
        const bool isUnread = hasUnreadBytes();
        bool isExpired = now >= deadline;
        isHostLate = isExpired && (isUnread || late > minHostDelay);
        if (!isExpired && mayGiveUp) {
            // Bytes that wait for the host to read on are no silence either.
            lastByteAt = isUnread && !isReading ? now : std::min(now, lastByteAt + late);
            if (now >= inactivityDeadline()) {
                // The timer may be served before the socket.
                if (isUnread && !std::exchange(hasWaitedForRead, true)) {
                    armTimer(call, now + unreadTime);
                    return;
                }
                isExpired = mayGiveUp();
            }
        }
        if (isExpired) {
            isTimedOut = true;
            cut();
            return;
        }
        armTimer(call);
    }

    /// Gives up a call over a link that was found cut, if it may and nothing came since the attempt
    /// that found it.
    void giveUpCutLink()
    {
        const bool isSilent = steadyNow() - lastByteAt >= connectTimeout;
        if (isFinished || !mayGiveUp || !isSilent || hasUnreadBytes() || !mayGiveUp())
            return;
        isTimedOut = true;
        cut();
    }

    tl::unexpected<error> failure(const boost::system::error_code &code, result_code kind)
    {
        if (isCancelled)
            return makeError(result_code::cancelled, "the call was cancelled");
        hasLostConnection = !isTimedOut && isConnectionLoss(code);
        const bool hasTimedOut = isTimedOut || code == asio::error::timed_out;
        if (hasTimedOut && kind == result_code::upstreamFailed)
            kind = result_code::upstreamTimeout;
        return makeError(
            kind, toString(entry.address) + ": " + (isTimedOut ? "timed out" : code.message()));
    }

    asio::awaitable<result<void>> connect()
    {
        const auto left = std::chrono::ceil<milliseconds>(deadline - steadyNow());
        auto opened = co_await paths->open(entry, std::min(connectTimeout, left));
        if (!opened)
            co_return tl::unexpected(opened.error());
        connection = std::move(*opened);
        co_return result<void>();
    }

    /// Makes sure that the connection leads to the process that the request names, if it names one
    /// and the other end says when it started.
    asio::awaitable<result<void>> checkProcess(const wire_format &wire)
    {
        if (request.processStart == 0)
            co_return result<void>();
        // An idle connection may have been closed, and so may one after a report.
        for (int reports = 1; !connection->processStart; ++reports) {
            const instant end = std::min(deadline, steadyNow() + reportTimeout);
            const report_end report
                = co_await callForReport(*connection, wire, entry, end - steadyNow());
            if (report.isReusable) {
                connection->processStart = wire.readProcessStart(report.body);
                break;
            }
            if (reports == maxReports || isCancelled || steadyNow() >= end)
                co_return makeError(result_code::upstreamUnreachable,
                                    toString(entry.address) + ": does not say when it started");
            if (auto opened = co_await connect(); !opened)
                co_return tl::unexpected(opened.error());
        }
        const std::int64_t start = *connection->processStart;
        if (start == 0 || start == request.processStart)
            co_return result<void>();
        co_return makeError(result_code::streamVersionGone,
                            "upstream " + entry.id + " started again at " + std::to_string(start)
                                + " and is not listed since; its software version is unknown");
    }

    /// Sends in the background, since an upstream may answer before it has read the whole body.
    void startWriting(const std::shared_ptr<upstream_call> &call)
    {
        isWriting = true;
        const std::array<asio::const_buffer, 2> parts{asio::buffer(request.head),
                                                      asio::buffer(request.body)};
        asio::async_write(connection->socket, parts,
                          [call](const boost::system::error_code &code, std::size_t) {
                              if (code == asio::error::operation_aborted)
                                  return; // This side has closed the connection.
                              call->m_state->isWriting = code.failed();
                              call->m_state->writeFailure = code;
                          });
    }

    tl::unexpected<error> wrongAnswer(const std::string &reason) const
    {
        return makeError(result_code::upstreamFailed, toString(entry.address) + ": " + reason);
    }

    /// Reads the next head; its body follows.
    asio::awaitable<result<answer_head>> readAnyHead(const wire_format &wire)
    {
        parser.emplace();
        parser->body_limit(maxAnswerBytes);
        parser->skip(request.hasNoAnswerBody);
        isReading = true;
        const auto [code, size]
            = co_await http::async_read_header(connection->socket, buffer, *parser, asTuple);
        isReading = false;
        if (code)
            co_return failure(code, result_code::upstreamFailed);
        noteBytes();
        const auto &read = parser->get();
        const int status = int(read.result_int());
        switch (faultOfHead(read)) {
        case head_fault::status:
            co_return wrongAnswer("answered with the invalid status " + std::to_string(status));
        case head_fault::protocol:
            co_return wrongAnswer("switched to a protocol that the request did not name");
        case head_fault::transferCoding:
            co_return wrongAnswer("answered with the unknown transfer coding \""
                                  + std::string(read[http::field::transfer_encoding]) + "\"");
        case head_fault::none:
            break;
        }
        const auto fields = fieldsOf(*parser);
        co_return wire.readAnswer(status, fields);
    }

    /// Reads answers until the head of one that belongs to this request. Drops interim answers and
    /// late answers to earlier requests on the connection.
    asio::awaitable<result<answer_head>> readHead(const wire_format &wire)
    {
        bool hasSaidLeaving = false;
        for (int dropped = 0; dropped <= maxDroppedAnswers; ++dropped) {
            auto head = co_await readAnyHead(wire);
            if (!head)
                co_return head;
            const answer_owner owner = ownerOf(head->requestId, request.requestId,
                                               hasCarriedRequest || otherAnswers > 0);
            otherAnswers += owner == answer_owner::otherRequest ? 1 : 0;
            if (!isInterim(head->status)) {
                // Nothing that it says, such as that the request did not run, can be believed.
                if (owner == answer_owner::unknown)
                    co_return wrongAnswer("answered " + std::to_string(head->status)
                                          + " without a request id on a used connection");
                if (owner == answer_owner::thisRequest) {
                    keepAlive = head->keepAlive.value_or(defaultKeepAlive);
                    head->isLeaving = head->isLeaving || hasSaidLeaving;
                    hasHead = true;
                    co_return head;
                }
                // Whether the other answer has a body depends on the method of its request.
                if (request.hasNoAnswerBody)
                    co_return wrongAnswer("answered another request");
            }
            // Another answer may be older than a registration that has taken the leaving back.
            const bool isOwn = owner != answer_owner::otherRequest;
            hasSaidLeaving = hasSaidLeaving || (isOwn && head->isLeaving && !head->isMisdirected);
            if (auto isDropped = co_await dropBody(); !isDropped)
                co_return tl::unexpected(isDropped.error());
        }
        co_return wrongAnswer("sent only answers to other requests");
    }

    asio::awaitable<result<void>> dropBody()
    {
        std::size_t size = 0;
        for (int pieces = 0; pieces < maxDroppedPieces && size < maxDroppedBytes; ++pieces) {
            const auto bytes = co_await readPiece();
            if (!bytes)
                co_return tl::unexpected(bytes.error());
            if (bytes->empty())
                co_return result<void>();
            size += bytes->size();
        }
        co_return makeError(result_code::upstreamFailed,
                            toString(entry.address)
                                + ": the body that is to be dropped has no end");
    }

    asio::awaitable<result<std::string_view>> readPiece()
    {
        while (!parser->is_done()) {
            auto &body = parser->get().body();
            body.data = piece.data();
            body.size = piece.size();
            body.more = true;
            isReading = true;
            const auto [code, size]
                = co_await http::async_read_some(connection->socket, buffer, *parser, asTuple);
            isReading = false;
            if (code && code != http::error::need_buffer)
                co_return failure(code, result_code::upstreamFailed);
            noteBytes();
            parseBuffered(*parser, buffer);
            const std::size_t filled = piece.size() - body.size;
            if (filled > 0)
                co_return std::string_view(piece.data(), filled);
        }
        if (parser->need_eof())
            hasUnacknowledged = unacknowledgedBytes(connection->socket) > 0;
        // A socket reports a reset once. If the writer was told, the reader sees an orderly end.
        if (writeFailure && parser->need_eof())
            co_return failure(writeFailure, result_code::upstreamFailed);
        co_return std::string_view();
    }

    bool isReusable() const
    {
        return connection && hasHead && otherAnswers == 0 && !isCancelled && !isTimedOut
            && !isWriting && parser && parser->is_done() && parser->keep_alive()
            && !parser->need_eof() && buffer.size() == 0 && connection->socket.is_open()
            && mayCarryMore(connection->carried);
    }
};

std::shared_ptr<upstream_call>
upstream_call::makeUpstreamCall(std::shared_ptr<upstream_paths> paths, upstream_entry entry)
{
    return std::shared_ptr<upstream_call>(
        new upstream_call(std::make_unique<state>(std::move(paths), std::move(entry))));
}

upstream_call::upstream_call(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

upstream_call::~upstream_call()
{
    m_state->isFinished = true;
    m_state->timer.cancel();
    if (!m_state->isReusable())
        return;
    m_state->connection->keepAlive = m_state->keepAlive;
    m_state->paths->putIdle(m_state->entry, std::move(m_state->connection));
}

asio::awaitable<result<answer_head>> upstream_call::begin(message request, const wire_format &wire,
                                                          instant deadline)
{
    state &self = *m_state;
    const auto keep = shared_from_this();
    self.request = std::move(request);
    self.deadline = deadline;
    self.lastByteAt = steadyNow();
    self.connection = self.paths->takeIdle(
        self.entry, self.request.isNonRepeatable ? nonRepeatableKeepAliveShare : 1,
        self.request.requestId);
    if (!self.connection) {
        auto opened = co_await self.connect();
        if (!opened && !self.isCancelled)
            co_return tl::unexpected(opened.error());
    }
    if (!self.isCancelled) {
        auto checked = co_await self.checkProcess(wire);
        if (!checked && !self.isCancelled)
            co_return tl::unexpected(checked.error());
    }
    if (!self.isCancelled && self.request.makeHead)
        self.request.head = co_await self.request.makeHead();
    if (self.isCancelled)
        co_return self.failure({}, result_code::upstreamUnreachable);
    self.isRelayed = self.connection->isRelayed;
    self.connectionNumber = self.connection->number;
    if (!self.isRelayed)
        self.linkWatch = self.paths->watchLink(self.entry, [weak = weak_from_this()] {
            if (const auto alive = weak.lock())
                alive->m_state->giveUpCutLink();
        });
    self.hasCarriedRequest = std::exchange(self.connection->hasCarriedRequest, true);
    recordCarried(self.connection->carried, self.request.requestId);
    self.lastByteAt = steadyNow();
    self.armTimer(keep);
    self.startWriting(keep);
    auto head = co_await self.readHead(wire);
    co_return head;
}

asio::awaitable<result<std::string_view>> upstream_call::read()
{
    const auto keep = shared_from_this();
    auto piece = co_await m_state->readPiece();
    co_return piece;
}

void upstream_call::setInactivityTimeout(microseconds inactivityTimeout,
                                         std::function<bool()> mayGiveUp)
{
    m_state->inactivityTimeout = inactivityTimeout;
    m_state->mayGiveUp = std::move(mayGiveUp);
    m_state->lastByteAt = steadyNow();
    if (m_state->connection)
        m_state->armTimer(shared_from_this());
}

asio::awaitable<bool> upstream_call::dropRest()
{
    const auto keep = shared_from_this();
    const auto isDropped = co_await m_state->dropBody();
    co_return isDropped.has_value();
}

bool upstream_call::endsWithConnection() const
{
    return m_state->parser && m_state->parser->need_eof();
}

bool upstream_call::announcesEnd() const
{
    return m_state->parser && !m_state->parser->get().keep_alive();
}

microseconds upstream_call::longestUnread() const
{
    return m_state->longestUnread;
}

bool upstream_call::isConnected() const
{
    return m_state->connection != nullptr;
}

send_progress upstream_call::sendProgress() const
{
    if (m_state->writeFailure)
        return send_progress::failed;
    if (!hasSentRequest())
        return send_progress::pending;
    return m_state->hasUnacknowledged ? send_progress::sent : send_progress::received;
}

bool upstream_call::hasSentRequest() const
{
    return isConnected() && !m_state->isWriting;
}

std::uint64_t upstream_call::connectionNumber() const
{
    return m_state->connectionNumber;
}

bool upstream_call::isReused() const
{
    return m_state->hasCarriedRequest;
}

int upstream_call::otherAnswers() const
{
    return m_state->otherAnswers;
}

bool upstream_call::isRelayed() const
{
    return m_state->isRelayed;
}

bool upstream_call::hasLostConnection() const
{
    return m_state->hasLostConnection;
}

bool upstream_call::isHostLate() const
{
    return m_state->isHostLate;
}

void upstream_call::cancel()
{
    m_state->isCancelled = true;
    m_state->cut();
}

void upstream_call::finish()
{
    // A pending write keeps this call alive, but not its caller, which owns the request's body.
    m_state->isFinished = true;
    m_state->mayGiveUp = nullptr;
    m_state->linkWatch.reset();
    m_state->timer.cancel();
    if (m_state->isWriting)
        m_state->cut();
}

} // namespace quincefall
