#include "clients/send_queue.h"

#include <linux/sockios.h>

#include <algorithm>

namespace quincefall {
namespace {

/// The command in the form that Asio asks for; see tcp(7).
struct send_queue_size
{
    int bytes = 0;

    static int name() { return SIOCOUTQ; }
    void *data() { return &bytes; }
};

} // namespace

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    send_queue_size size;
    boost::system::error_code code;
    socket.io_control(size, code);
    return code ? 0 : std::size_t(std::max(0, size.bytes));
}

} // namespace quincefall
