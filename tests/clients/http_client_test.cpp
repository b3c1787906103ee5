#include "clients/http_client.h"

#include "kernel/asio_headers.h"

#include "support/field_names.h"
#include "support/join.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds timeout{400};
const std::string answerB = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nB";

/// A server that answers the first request with given bytes and all later ones with answerB.
class answering_server
{
public:
    answering_server(std::string first, bool staysOpen)
        : m_first(std::move(first))
        , m_staysOpen(staysOpen)
        , m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_client(http_client::makeHttpClient(m_context))
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    /// Sends GET, or @p method, and returns the body; the reason in brackets if there is none.
    std::string send(const std::string &method = "GET")
    {
        return run([this, method]() -> asio::awaitable<std::string> {
            const auto reply = co_await m_client->send(address(), makeRequest(method), timeout);
            co_return reply ? reply->body : "[" + reply.error().detail + "]";
        });
    }

    /// Like send(), with the body read as a stream.
    std::string stream(const std::string &method = "GET")
    {
        return run([this, method]() -> asio::awaitable<std::string> {
            auto opened = co_await m_client->open(address(), makeRequest(method), timeout);
            if (!opened)
                co_return "[" + opened.error().detail + "]";
            std::string body;
            while (true) {
                const auto piece = co_await (*opened)->read(timeout);
                if (!piece)
                    co_return "[" + piece.error().detail + "]";
                if (piece->empty()) {
                    const auto whole = (*opened)->checkWhole();
                    co_return whole ? body : "[" + whole.error().detail + "]";
                }
                body += *piece;
            }
        });
    }

    /// Makes the server end with its first answer.
    void endAfterFirst() { m_endsAfterFirst = true; }

    const std::string &firstRequestLine() const { return m_firstRequestLine; }

private:
    host_address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    static http_request makeRequest(const std::string &method)
    {
        http_request request;
        request.method = method;
        request.target = "/x";
        return request;
    }

    std::string run(const std::function<asio::awaitable<std::string>()> &action)
    {
        std::string got = "[no answer]";
        asio::co_spawn(m_context, action(), [&](std::exception_ptr failure, std::string body) {
            got = failure ? "[exception]" : std::move(body);
            m_context.stop();
        });
        m_context.restart();
        m_context.run();
        return got;
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [code, socket] = co_await m_acceptor.async_accept(asTuple);
            if (code)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string received;
        while (true) {
            const auto [code, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asTuple);
            if (code)
                co_return;
            const bool isFirst = m_firstRequestLine.empty();
            if (isFirst)
                m_firstRequestLine = received.substr(0, received.find('\r'));
            received.erase(0, size);
            co_await asio::async_write(socket, asio::buffer(isFirst ? m_first : answerB), asTuple);
            if (isFirst && m_endsAfterFirst)
                m_acceptor.close();
            if (isFirst && !m_staysOpen)
                co_return;
        }
    }

    asio::io_context m_context;
    std::string m_first;
    bool m_staysOpen;
    bool m_endsAfterFirst = false;
    tcp::acceptor m_acceptor;
    std::unique_ptr<http_client> m_client;
    std::string m_firstRequestLine;
};

bool isFailure(const std::string &got)
{
    return got.starts_with('[');
}

BOOST_AUTO_TEST_SUITE(http_client_tests)

// An interim answer was taken for the final one, which then answered the next request.
BOOST_AUTO_TEST_CASE(an_interim_answer_is_not_the_answer)
{
    const std::string first = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                              "HTTP/1.1 102 Processing\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA";
    answering_server sent(first, true);
    BOOST_TEST(sent.send() == "A");
    BOOST_TEST(sent.send() == "B");
    answering_server streamed(first, true);
    BOOST_TEST(streamed.stream() == "A");
    BOOST_TEST(streamed.stream() == "B");
    std::string endless;
    for (int count = 0; count < 100; ++count)
        endless += "HTTP/1.1 102 Processing\r\n\r\n";
    answering_server talking(endless + first, true);
    BOOST_TEST(isFailure(talking.send()));
}

// A body whose end could not be told passed for a whole one, and what followed it for the next

// answer.
BOOST_AUTO_TEST_CASE(an_answer_whose_length_is_ambiguous_is_a_failure)
{
    for (const std::string fields : {
             "Transfer-Encoding: gzip\r\n\r\nA",
             "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n",
             "Transfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\nA",
         }) {
        answering_server sent("HTTP/1.1 200 OK\r\n" + fields, false);
        BOOST_TEST(isFailure(sent.send()), fields);
        answering_server streamed("HTTP/1.1 200 OK\r\n" + fields, false);
        BOOST_TEST(isFailure(streamed.stream()), fields);
    }
}

// An answer with the status 000 was dropped as an interim one, and its body read as the answer.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_is_a_failure)
{
    const std::string inBody = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX";
    const std::string fields = "Content-Length: " + std::to_string(inBody.size()) + "\r\n\r\n";
    for (const std::string status :
         {"000", "001", "099", "600", "999", "1000", "20", "2x0", " 200"}) {
        const std::string answer = join({"HTTP/1.1 ", status, " X\r\n", fields, inBody});
        answering_server sent(answer, true);
        BOOST_TEST(isFailure(sent.send()), status);
        BOOST_TEST(sent.send() == "B", status);
        answering_server streamed(answer, true);
        BOOST_TEST(isFailure(streamed.stream()), status);
    }
}

// Guards against a field that is read in one way here and in another one behind.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_field_name_is_a_failure)
{
    for (const std::string &name : invalidFieldNames()) {
        const std::string answer
            = join({"HTTP/1.1 200 OK\r\n", name, ": 5\r\nContent-Length: 1\r\n\r\nAAAAA"});
        answering_server sent(answer, true);
        BOOST_TEST(isFailure(sent.send()), name);
        answering_server streamed(answer, true);
        BOOST_TEST(isFailure(streamed.stream()), name);
    }
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_are_not_the_next_one)
{
    const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX";
    for (const std::string fields :
         {"Content-Length: 1\r\n\r\nA", "Transfer-Encoding: chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n"}) {
        answering_server sent(join({"HTTP/1.1 200 OK\r\n", fields, extra}), true);
        BOOST_TEST(sent.send() == "A");
        BOOST_TEST(sent.send() == "B");
        answering_server streamed(join({"HTTP/1.1 200 OK\r\n", fields, extra}), true);
        BOOST_TEST(streamed.stream() == "A");
        BOOST_TEST(streamed.stream() == "B");
    }
}

// The body that the length of an answer to HEAD speaks of never comes.
BOOST_AUTO_TEST_CASE(an_answer_to_head_ends_with_its_head)
{
    answering_server sent("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true);
    BOOST_TEST(sent.send("HEAD").empty());
    BOOST_TEST(sent.send() == "B");
    answering_server streamed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true);
    BOOST_TEST(streamed.stream("HEAD").empty());
}

// A method that the library doesn't name ended the call with an exception.
BOOST_AUTO_TEST_CASE(a_method_without_a_name_is_sent_as_it_is)
{
    answering_server server("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA", true);
    BOOST_TEST(server.send("BREW") == "A");
    BOOST_TEST(server.firstRequestLine() == "BREW /x HTTP/1.1");
}

// Guards against an answer that stops in its head and passes for a whole one.
BOOST_AUTO_TEST_CASE(an_answer_cut_at_any_byte_is_a_failure)
{
    for (const std::string whole : {
             "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody",
             "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: "
             "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
         }) {
        for (std::size_t size = 1; size < whole.size(); ++size) {
            answering_server sent(whole.substr(0, size), false);
            BOOST_TEST(isFailure(sent.send()), size);
            answering_server streamed(whole.substr(0, size), false);
            BOOST_TEST(isFailure(streamed.stream()), size);
        }
        for (std::size_t size = 1; size < whole.size(); size += 9) {
            answering_server silent(whole.substr(0, size), true);
            BOOST_TEST(isFailure(silent.send()), size);
        }
    }
}

// The parser keeps these until it has seen their end.
BOOST_AUTO_TEST_CASE(an_extension_or_trailer_of_many_bytes_is_not_kept)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(300'000, 'x');
    for (const std::string &answer : {join({head, "1;a=", filler, "\r\nA\r\n0\r\n\r\n"}),
                                      join({head, "1\r\nA\r\n0\r\nX: ", filler, "\r\n\r\n"})}) {
        answering_server sent(answer, true);
        BOOST_TEST(isFailure(sent.send()));
        answering_server streamed(answer, true);
        BOOST_TEST(isFailure(streamed.stream()));
    }
    answering_server small(join({head, "1;a=b\r\nA\r\n0\r\nX: y\r\n\r\n"}), true);
    BOOST_TEST(small.send() == "A");
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_killed_server_is_not_whole)
{
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nbody";
    answering_server killed(unframed, false);
    killed.endAfterFirst();
    BOOST_TEST(isFailure(killed.send()));
    answering_server alive(unframed, false);
    BOOST_TEST(isFailure(alive.send()));
    answering_server framed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false);
    framed.endAfterFirst();
    BOOST_TEST(framed.send() == "body");
}

// That a server lives was taken for a proof that its answer was whole.
BOOST_AUTO_TEST_CASE(an_answer_that_its_living_server_ended_early_is_not_whole)
{
    const std::string body = "body";
    for (std::size_t size = 0; size <= body.size(); ++size) {
        const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + body.substr(0, size);
        const std::string reason = ": only its connection ended the answer after "
            + std::to_string(size) + " bytes of the body, which does not prove it whole]";
        answering_server sent(answer, false);
        BOOST_TEST(sent.send().ends_with(reason), size);
        BOOST_TEST(sent.send() == "B");
        answering_server streamed(answer, false);
        BOOST_TEST(streamed.stream().ends_with(reason), size);
    }
}

// Such an answer has no body, whose end could be missing.
BOOST_AUTO_TEST_CASE(an_answer_without_a_body_ends_with_its_head)
{
    for (const std::string line : {"204 No Content", "304 Not Modified"}) {
        answering_server server("HTTP/1.1 " + line + "\r\n\r\n", false);
        BOOST_TEST(server.send().empty(), line);
    }
    answering_server server("HTTP/1.1 200 OK\r\n\r\n", false);
    BOOST_TEST(server.send("HEAD").empty());
    answering_server streamed("HTTP/1.1 204 No Content\r\n\r\n", false);
    BOOST_TEST(streamed.stream().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
