"""An engine that answers a long upload before it has read it, and ends the answer meanwhile."""

import asyncio
import socket

from support.platform_standin import Engine, HttpServer, answer_bytes
from support.ports import free_ports
from support.resets import reset

LONG_UPLOAD = 1_000_000  # Bytes from which an upload is answered early.
RECEIVE_BYTES = 8192  # Of the kernel's buffer, so that the sender has to wait.


class UploadServer(HttpServer):
    """Hands the head of a request with a long body to `answer_early`."""

    def __init__(self, loop, answer, answer_early):
        super().__init__(loop, answer)
        self.answer_early = answer_early

    async def listen(self, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port or free_ports(1)[0]))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=RECEIVE_BYTES)
        self.port = listener.getsockname()[1]

    async def answers_unread(self, reader, writer, target, fields):
        is_long = int(fields.get("content-length", 0)) >= LONG_UPLOAD
        if is_long:
            await self.answer_early(reader, writer, target, fields)
        return is_long


class UploadEngine(Engine):
    """`end` says how the answer to a long upload ends, after `pieces` of its body: "reset", "close"
    (with the rest of the upload unread), "shutdown" (in order, before a close), or None if the
    upload is read and answered whole. The answer has no length unless it `is_framed`.
    """

    end = None
    is_framed = False
    pieces = ()
    wait_seconds = 0.05  # Between the pieces, and before the end.

    def __init__(self, loop, identity, service):
        super().__init__(loop, identity, service)
        self.server = UploadServer(loop, self.answer, self.answer_early)
        self.early_ends = []  # Requests.

    async def answer_early(self, reader, writer, target, fields):
        request = fields["quincefall-request-id"]
        self.runs[request] += 1
        if self.end is None:
            await reader.readexactly(int(fields["content-length"]))
        kind = "text/event-stream" if target.startswith(("/stream/", "/once/")) else "text/plain"
        whole = b"".join(self.pieces)
        head = answer_bytes(200, whole, [
            ("Content-Type", kind), ("Connection", "close"), ("Quincefall-Request-Id", request),
            ("Quincefall-Response-Stamp", f"{self.identity}.{request}")])[:-len(whole)]
        if not self.is_framed:
            head = head.replace(b"Content-Length: %d\r\n" % len(whole), b"")
        writer.write(head)
        sent = self.pieces if self.end is None or self.is_framed else self.pieces[:-1]
        for piece in sent:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self.wait_seconds)
        if self.end is not None:
            self.early_ends.append(request)
        if self.end == "reset":
            reset(writer)
        elif self.end == "shutdown":
            writer.write_eof()
            await asyncio.sleep(self.wait_seconds)
