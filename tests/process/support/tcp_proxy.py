"""A loopback proxy that harms the connections through it."""

import asyncio


class TcpProxy:
    """Passes bytes on to a port. `delay` holds each piece up (seconds); `mode` is "open", "refuse"
    (new connections are reset), "silent" (no byte passes) or "one-way" (nothing comes back)."""

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
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            onward_reader, onward = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, onward}
        await asyncio.gather(self.pump(reader, onward, "there"),
                             self.pump(onward_reader, writer, "back"))
        self.writers -= {writer, onward}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(16384):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # What a silent connection swallows is lost; the connection stays open.
                if self.mode == "silent" or (self.mode == "one-way" and direction == "back"):
                    continue
                writer.write(data)
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass  # The connection or the test is over.
        finally:
            writer.transport.abort() if self.mode == "refuse" else writer.close()
