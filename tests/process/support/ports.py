"""Ports for servers that tests start, also once more at the same port."""

import os
import socket

# Below the range from which the kernel takes the local ports of outgoing connections: one of those
# could take the port of a server that is to start or to come back.
FIRST = 15000
BLOCKS = 85
BLOCK_PORTS = 200  # Each process has a block of its own.


class Block:
    """The ports of one block, which belongs to the process that holds its first port."""

    def __init__(self):
        self.guard = None
        for number in range(BLOCKS):
            self.first = FIRST + (os.getpid() + number) % BLOCKS * BLOCK_PORTS
            self.guard = bound_socket(self.first)
            if self.guard:
                break
        if not self.guard:
            raise AssertionError(f"all {BLOCKS} blocks of ports are in use")
        self.next = 1

    def take(self):
        port = self.first + self.next
        self.next = self.next % (BLOCK_PORTS - 1) + 1
        return port


def bound_socket(port):
    one = socket.socket()
    try:
        one.bind(("127.0.0.1", port))
        return one
    except OSError:
        one.close()
        return None


_block = Block()


def free_ports(count):
    """Ports at which nothing listens, those that were given out longest ago first."""
    ports = []
    for _ in range(BLOCK_PORTS):
        port = _block.take()
        probe = bound_socket(port)
        if probe:
            probe.close()
            ports.append(port)
        if len(ports) == count:
            return ports
    raise AssertionError(f"fewer than {count} of {BLOCK_PORTS} ports are free")
