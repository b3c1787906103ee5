"""Connections that are reset, not closed in good order."""

import socket
import struct


def reset(writer):
    """Resets the connection. abort() alone mostly ends it in good order, as a killed process does."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
    writer.transport.abort()
