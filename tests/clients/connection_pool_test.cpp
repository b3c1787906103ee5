#include "clients/connection_pool.h"

#include "kernel/asio_headers.h"

#include <boost/test/unit_test.hpp>

#include <netinet/tcp.h>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// "A second or so" for which a sound peer may be silent, with as much again to spare.
constexpr milliseconds longestSoundSilence{2'000};

int intOption(tcp::socket &socket, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    BOOST_REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size) == 0);
    return value;
}

BOOST_AUTO_TEST_SUITE(connection_pool_tests)

BOOST_AUTO_TEST_CASE(a_sound_peer_that_is_silent_for_a_second_keeps_its_connections)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const auto pool = connection_pool::makeConnectionPool(context, {24, true});
    connection_ptr opened;
    const host_address address{"127.0.0.1", acceptor.local_endpoint().port()};
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto made = co_await pool->open(address, milliseconds(1'000));
            if (made)
                opened = std::move(*made);
        },
        asio::detached);
    context.run();
    BOOST_REQUIRE(opened);
    const milliseconds userTimeout(intOption(opened->socket, TCP_USER_TIMEOUT));
    const seconds idle(intOption(opened->socket, TCP_KEEPIDLE));
    const seconds interval(intOption(opened->socket, TCP_KEEPINTVL));
    const int probes = intOption(opened->socket, TCP_KEEPCNT);
    BOOST_TEST(userTimeout.count() > longestSoundSilence.count());
    // Linux ends a connection at a probe that follows an unanswered one, if the user timeout has
    // passed; the probes that the count promises must fit into it.
    BOOST_TEST(userTimeout.count() >= milliseconds(idle + interval * probes).count());
    BOOST_TEST(milliseconds(idle + interval * probes).count() > longestSoundSilence.count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
