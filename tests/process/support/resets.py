"""Connections that are reset, not closed in good order."""

import socket
import struct


def reset(writer):
    """Resets the connection. abort() alone mostly ends it in good order, as a killed process does."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() >= 0:  # Else it is closed already.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
