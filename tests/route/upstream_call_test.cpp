#include "route/upstream_call.h"

#include "kernel/asio_headers.h"
#include "route/liveness_probe.h"

#include "support/field_names.h"
#include "support/join.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr microseconds betweenSegments{100};
constexpr seconds requestTimeout{5};

/// Every answer says in "For" for which request it was made.
wire_format makeTestFormat()
{
    wire_format wire;
    wire.readAnswer = [](int status, std::span<const http_header> fields) {
        answer_head head;
        head.status = status;
        head.forwardedFields.assign(fields.begin(), fields.end());
        for (const auto &[name, value] : fields) {
            if (name == "Id")
                head.requestId = value;
            head.wasNotRun = head.wasNotRun || name == "Not-Run";
        }
        return head;
    };
    wire.writeLivenessCall
        = [](const upstream_entry &) { return "GET / HTTP/1.1\r\nId: probe\r\n\r\n"; };
    return wire;
}

enum class framing { length, chunks, connectionEnd };

std::string makeAnswer(const std::string &request, bool isNamed, bool isRefusal,
                       framing framed = framing::length)
{
    const std::string body = isRefusal ? "" : "body:" + request;
    std::string bytes = isRefusal ? "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" : "HTTP/1.1 200 OK\r\n";
    bytes += "For: " + request + "\r\n";
    if (isNamed)
        bytes += "Id: " + request + "\r\n";
    if (framed == framing::length)
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (framed == framing::connectionEnd)
        bytes += "\r\n" + body;
    if (framed == framing::chunks) {
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        for (const char character : body)
            bytes += std::string("1\r\n") + character + "\r\n";
        bytes += "0\r\n\r\n";
    }
    return bytes;
}

/// What the upstream sends for one request.
struct reply
{
    std::vector<std::string> segments;
    bool endsConnection = false;
    bool hasLateAnswer = false; ///< Of an earlier request, before the request's own answer.
};

/// An upstream whose replies a test makes. @p isUsed tells whether the connection had requests.
class scripted_upstream
{
public:
    using reply_maker = std::function<reply(const std::string &request, bool isUsed)>;

    explicit scripted_upstream(reply_maker maker)
        : m_maker(std::move(maker))
        , m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_paths(upstream_paths::makeUpstreamPaths(
              m_context, m_routing, connection_pool::makeConnectionPool(m_context, {}), {},
              makeSystemClock()))
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        m_entry.id = "upstream";
        m_entry.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    struct outcome
    {
        std::optional<answer_head> head;
        std::string body;
        bool isWhole = false;
        std::string failure;
    };

    outcome ask(const std::string &request, const std::string &method = "GET",
                milliseconds timeout = requestTimeout)
    {
        outcome got;
        asio::co_spawn(m_context, askOnce(request, method, timeout, got),
                       [this](std::exception_ptr failed) {
                           BOOST_TEST(!failed);
                           m_context.stop();
                       });
        m_context.restart();
        m_context.run();
        return got;
    }

    /// Whether a probe takes the upstream for one that answers.
    bool answersProbe()
    {
        const auto probes = liveness_probes::makeLivenessProbes(m_paths, m_wire);
        bool isAnswered = false;
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                isAnswered = co_await probes->open(m_entry) != nullptr;
                m_context.stop();
            },
            asio::detached);
        m_context.restart();
        m_context.run();
        return isAnswered;
    }

    /// Requests on a connection on which a late answer had been sent before.
    int requestsAfterLateAnswers() const { return m_requestsAfterLateAnswers; }

private:
    asio::awaitable<void> askOnce(std::string request, std::string method, milliseconds timeout,
                                  outcome &got)
    {
        const auto call = upstream_call::makeUpstreamCall(m_paths, m_entry);
        upstream_call::message message;
        message.head = method + " / HTTP/1.1\r\nId: " + request + "\r\n\r\n";
        message.requestId = request;
        message.hasNoAnswerBody = method == "HEAD";
        auto head = co_await call->begin(std::move(message), m_wire, steadyNow() + timeout);
        if (head) {
            got.head = std::move(*head);
            while (true) {
                const auto piece = co_await call->read();
                got.isWhole = piece && piece->empty();
                if (!piece || piece->empty())
                    break;
                got.body.append(*piece);
            }
        } else {
            got.failure = head.error().detail;
        }
        call->finish();
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [code, socket] = co_await m_acceptor.async_accept(asTuple);
            if (code)
                co_return;
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string received;
        bool isUsed = false;
        bool hasLateAnswer = false;
        asio::steady_timer timer(m_context);
        while (true) {
            const auto [code, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asTuple);
            if (code)
                co_return;
            const std::size_t start = received.find("Id: ") + 4;
            const std::string request = received.substr(start, received.find('\r', start) - start);
            received.erase(0, size);
            m_requestsAfterLateAnswers += hasLateAnswer ? 1 : 0;
            const reply made = m_maker(request, isUsed);
            hasLateAnswer = hasLateAnswer || made.hasLateAnswer;
            isUsed = true;
            for (const std::string &segment : made.segments) {
                const auto [failed, written]
                    = co_await asio::async_write(socket, asio::buffer(segment), asTuple);
                if (failed)
                    co_return;
                timer.expires_after(betweenSegments);
                co_await timer.async_wait(asTuple);
            }
            if (made.endsConnection)
                co_return;
        }
    }

    reply_maker m_maker;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    routing_state m_routing;
    std::shared_ptr<upstream_paths> m_paths;
    upstream_entry m_entry;
    wire_format m_wire = makeTestFormat();
    int m_requestsAfterLateAnswers = 0;
};

/// Whether the outcome is a failure, or the request's own answer and nothing else.
void checkIsOwn(const scripted_upstream::outcome &got, const std::string &request)
{
    if (!got.head)
        return;
    const auto &fields = got.head->forwardedFields;
    const auto is = [&](const http_header &field) { return field == http_header("For", request); };
    BOOST_TEST(std::count_if(fields.begin(), fields.end(), is) == 1, request);
    if (got.isWhole)
        BOOST_TEST(got.body == (got.head->wasNotRun ? "" : "body:" + request), request);
}

std::vector<std::string> cutAtRandom(const std::string &bytes, std::mt19937 &rng)
{
    std::vector<std::string> segments;
    const std::size_t longest = std::array<std::size_t, 4>{1, 7, 60, 4000}[rng() % 4];
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t size = 1 + rng() % longest;
        segments.push_back(bytes.substr(at, size));
        at += size;
    }
    return segments;
}

reply makeRandomReply(const std::string &request, bool isUsed, std::mt19937 &rng)
{
    const auto isChosen = [&rng](unsigned oneIn) { return rng() % oneIn == 0; };
    constexpr std::array<framing, 3> framings{framing::length, framing::chunks,
                                              framing::connectionEnd};
    reply made;
    std::string bytes;
    if (isChosen(4))
        bytes += "HTTP/1.1 102 Processing\r\nId: " + request + "\r\n\r\n";
    if (isUsed && isChosen(2)) {
        made.hasLateAnswer = true;
        const int copies = 1 + int(rng() % 2);
        for (int copy = 0; copy < copies; ++copy)
            bytes += makeAnswer("earlier", !isChosen(3), isChosen(2), framings[rng() % 2]);
        if (isChosen(4))
            bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const bool isRefusal = isChosen(4);
    const framing own = isRefusal ? framing::length : framings[rng() % 3];
    bytes += makeAnswer(request, isUsed || isChosen(2), isRefusal, own);
    made.endsConnection = own == framing::connectionEnd;
    if (!made.endsConnection && isChosen(8))
        bytes += makeAnswer(request, isChosen(2), isChosen(2));
    made.segments = cutAtRandom(bytes, rng);
    return made;
}

BOOST_AUTO_TEST_SUITE(upstream_call_tests)

BOOST_AUTO_TEST_CASE(a_request_gets_its_own_answer_or_a_failure_however_answers_are_cut)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        std::mt19937 rng(seed);
        scripted_upstream upstream([&rng](const std::string &request, bool isUsed) {
            return makeRandomReply(request, isUsed, rng);
        });
        int answered = 0;
        constexpr int requests = 150;
        for (int number = 0; number < requests; ++number) {
            const std::string request = "r" + std::to_string(number);
            const auto got = upstream.ask(request);
            checkIsOwn(got, request);
            answered += got.isWhole ? 1 : 0;
        }
        BOOST_TEST(answered > requests / 2, "seed " << seed << ", answered " << answered);
        BOOST_TEST(upstream.requestsAfterLateAnswers() == 0, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_late_refusal_is_dropped_at_whichever_byte_it_is_cut)
{
    const std::string late = makeAnswer("earlier", true, true);
    const std::size_t size = late.size() + makeAnswer("r", true, false, framing::chunks).size();
    for (std::size_t at = 1; at < size; ++at) {
        scripted_upstream upstream([&](const std::string &request, bool isUsed) {
            std::string bytes = makeAnswer(request, true, false, framing::chunks);
            if (!isUsed)
                return reply{{bytes}, false, false};
            bytes.insert(0, late);
            return reply{{bytes.substr(0, at), bytes.substr(at)}, false, true};
        });
        BOOST_TEST(upstream.ask("q").isWhole);
        const auto got = upstream.ask("r");
        BOOST_TEST(got.body == "body:r", at);
        BOOST_TEST((got.head && !got.head->wasNotRun), at);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_without_an_id_on_a_used_connection_fails_the_call)
{
    for (const bool isRefusal : {false, true}) {
        scripted_upstream upstream([isRefusal](const std::string &request, bool) {
            return reply{{makeAnswer(request, false, isRefusal)}, false, false};
        });
        BOOST_TEST(upstream.ask("first").head.has_value());
        const auto got = upstream.ask("second");
        BOOST_TEST(!got.head.has_value());
        BOOST_TEST(got.failure.find("without a request id") != std::string::npos, got.failure);
        BOOST_TEST(upstream.ask("third").head.has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_framed_or_has_no_status_fails_the_call)
{
    const std::string chunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    for (const auto &[start, rest] : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: gzip", chunks},
             {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: gzip, chunked", chunks},
             {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked, chunked", chunks},
             {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: gzip\r\n",
              "Content-Length: 4\r\n\r\nbody"},
             {"HTTP/1.0 200 OK\r\nId: r\r\nTransfer-Encoding: chunked", chunks},
             {"HTTP/1.1 000 OK\r\nId: r\r\n", "Content-Length: 0\r\n\r\n"},
             {"HTTP/1.1 099 OK\r\nId: r\r\n", "Content-Length: 0\r\n\r\n"},
             {"HTTP/1.1 600 OK\r\nId: r\r\n", "Content-Length: 0\r\n\r\n"},
         }) {
        const std::string bytes = start + rest;
        scripted_upstream upstream([&bytes](const std::string &, bool) {
            return reply{{bytes}, true, false};
        });
        BOOST_TEST(!upstream.ask("r").head.has_value(), bytes);
    }
}

// The body of an answer with the status 000 was read as the answer to the call.
BOOST_AUTO_TEST_CASE(a_probe_is_not_answered_by_an_invalid_head)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (const std::string start :
         {"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 101 X\r\n",
          "HTTP/1.1 200 OK\r\nA b: c\r\n", ""}) {
        const bool isSound = start.empty();
        const std::string fields = "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n";
        const std::string bytes = isSound ? whole : join({start, fields, whole});
        scripted_upstream upstream([&bytes](const std::string &, bool) {
            return reply{{bytes}, false, false};
        });
        BOOST_TEST(upstream.answersProbe() == isSound, start);
    }
}

// The copy of a refusal was taken for a sign of life, and for a report that names no start.
BOOST_AUTO_TEST_CASE(a_probe_is_not_answered_by_the_copy_of_a_refusal)
{
    const std::string copy = makeAnswer("earlier", true, true);
    const std::string copyWithBody
        = "HTTP/1.1 503 X\r\nId: earlier\r\nContent-Length: 4\r\n\r\nfull";
    const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for (const std::string &copies : {copy, copyWithBody, copy + copyWithBody}) {
        for (const bool isReported : {false, true}) {
            scripted_upstream upstream([&](const std::string &, bool) {
                reply made{{copies}, false, true};
                if (isReported)
                    made.segments.push_back(report);
                return made;
            });
            BOOST_TEST(upstream.answersProbe() == isReported, copies);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_field_name_fails_the_call)
{
    for (const std::string &name : invalidFieldNames()) {
        scripted_upstream upstream([&name](const std::string &request, bool) {
            const std::string bytes = join({"HTTP/1.1 200 OK\r\nId: ", request, "\r\n", name,
                                            ": 5\r\nContent-Length: 1\r\n\r\nAAAAA"});
            return reply{{bytes}, true, false};
        });
        BOOST_TEST(!upstream.ask("r").head.has_value(), name);
    }
}

// The bytes of another protocol, which nobody had asked for, were read as the answer.
BOOST_AUTO_TEST_CASE(an_upstream_that_switches_protocols_fails_the_call)
{
    scripted_upstream upstream([](const std::string &request, bool) {
        const std::string bytes = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
            + makeAnswer(request, true, false);
        return reply{{bytes}, false, false};
    });
    BOOST_TEST(!upstream.ask("r").head.has_value());
}

// Guards against an answer that stops in its head and passes for a whole one.
BOOST_AUTO_TEST_CASE(a_second_answer_on_a_connection_that_is_cut_at_any_byte_is_no_whole_one)
{
    constexpr milliseconds shortTime{60};
    for (const framing framed : {framing::length, framing::chunks, framing::connectionEnd}) {
        const std::string whole = makeAnswer("second", true, false, framed);
        const bool showsEnd = framed != framing::connectionEnd;
        const std::size_t end = showsEnd ? whole.size() : whole.find("\r\n\r\n") + 4;
        for (std::size_t size = 1; size < end; ++size) {
            for (const bool isClosed : {true, false}) {
                if (!isClosed && size % 8 != 1)
                    continue;
                scripted_upstream upstream([&](const std::string &request, bool isUsed) {
                    return isUsed ? reply{{whole.substr(0, size)}, isClosed, false}
                                  : reply{{makeAnswer(request, true, false)}, false, false};
                });
                BOOST_TEST(upstream.ask("first").isWhole);
                const auto got
                    = upstream.ask("second", "GET", isClosed ? requestTimeout : shortTime);
                BOOST_TEST(!got.isWhole, size);
                BOOST_TEST((!got.head || size >= whole.find("\r\n\r\n") + 4), size);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_head_request_fails_if_another_answer_comes_first)
{
    scripted_upstream upstream([](const std::string &request, bool isUsed) {
        const std::string inBody = makeAnswer(request, true, true);
        const std::string late = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: "
            + std::to_string(inBody.size()) + "\r\n\r\n" + inBody;
        return isUsed ? reply{{late}, true, true}
                      : reply{{makeAnswer(request, true, false)}, false, false};
    });
    BOOST_TEST(upstream.ask("first").head.has_value());
    BOOST_TEST(!upstream.ask("second", "HEAD").head.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
