"""Ports for servers that tests start, also once more at the same port."""

import os
import socket

# Below the range from which the kernel takes the local ports of outgoing connections: one of those
# could take the port of a server that is to start or to come back.
FIRST = 15000
COUNT = 17000
PORTS_PER_PROCESS = 61  # Processes that run side by side begin at different ports.

_next = os.getpid() * PORTS_PER_PROCESS % COUNT


def free_ports(count):
    """Ports at which nothing listens; each is given out once until all have been."""
    global _next
    ports = []
    for _ in range(COUNT):
        port = FIRST + _next
        _next = (_next + 1) % COUNT
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise AssertionError(f"fewer than {count} of {COUNT} ports are free")
