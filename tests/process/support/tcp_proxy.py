"""A loopback TCP proxy that injects network faults."""

import asyncio

from support.resets import reset


class TcpProxy:
    """Forwards connections to the port `target`.

    `delay` is added before each chunk is forwarded, in seconds. `mode` is "open", "refuse" (new
    connections are reset), "blackhole" (bytes of both directions are discarded) or "one-way" (bytes
    from the target are discarded).
    """

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.mode = "open"
        self.delay = 0
        self.writers = set()

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def reset(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer, "request"),
                             self.pump(target_reader, writer, "response"))
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(16384):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # Discarded bytes are not sent later; the connection stays open.
                if self.mode == "blackhole" or (self.mode == "one-way" and direction == "response"):
                    continue
                writer.write(data)
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass  # The connection was closed or the test ended.
        finally:
            reset(writer) if self.mode == "refuse" else writer.close()
