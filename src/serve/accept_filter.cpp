#include "serve/accept_filter.h"

#include <array>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quincefall {
namespace {

constexpr unsigned flagsOffset = 13; // In the TCP header (RFC 9293, 3.1).
constexpr unsigned dropped = 0;
constexpr unsigned wholePacket = 0xffffffff;

} // namespace

bool dropNewConnections(int descriptor)
{
    // Drops SYN without ACK.
    std::array<sock_filter, 5> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, dropped),
        BPF_STMT(BPF_RET | BPF_K, wholePacket),
    }};
    const sock_fprog filter{program.size(), program.data()};
    return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

} // namespace quincefall
