"""Links between one host and the servers of a fleet that a test can cut."""

import asyncio
import json
import socket

from support.platform_standin import Store
from support.ports import free_ports
from support.resets import reset


class CutLink:
    """A TCP proxy in front of the port `target`.

    `cut` takes "hang" (open connections pass nothing, attempts to connect get no answer), "reset"
    (open connections are reset, attempts to connect refused) or "refuse" (open connections live on,
    attempts to connect are refused). `heal` ends the cut.
    """

    def __init__(self, loop, target):
        self.loop = loop
        self.target = target
        self.port = free_ports(1)[0]
        self.listener = None
        self.accepting = None
        self.pending = []  # Connections that fill the listen queue.
        self.writers = set()
        self.is_stalled = False

    async def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(100)
        self.accepting = self.loop.create_task(self.accept())

    async def accept(self):
        while True:
            connection, _ = await self.loop.sock_accept(self.listener)
            self.loop.create_task(self.serve(connection))

    async def serve(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer), self.pump(target_reader, writer))
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(16384):
                while self.is_stalled:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            while self.is_stalled:
                await asyncio.sleep(0.05)
            writer.close()
        except (asyncio.CancelledError, ConnectionError, OSError):
            reset(writer)

    async def stop_accepting(self):
        self.accepting.cancel()
        await asyncio.gather(self.accepting, return_exceptions=True)

    async def cut(self, how):
        await self.stop_accepting()
        if how == "hang":
            self.is_stalled = True
            self.listener.listen(0)
            for _ in range(3):
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex(("127.0.0.1", self.port))
                self.pending.append(one)
            return
        self.listener.close()
        if how == "reset":
            for writer in list(self.writers):
                reset(writer)

    async def heal(self):
        self.is_stalled = False
        await self.close_listener()
        await self.listen()

    async def close_listener(self):
        await self.stop_accepting()
        self.listener.close()
        for one in self.pending:
            one.close()
        self.pending = []

    async def close(self):
        await self.close_listener()
        for writer in list(self.writers):
            writer.transport.abort()


class HostView(Store):
    """A store server for one host, which lists the servers at the ports of the host's links."""

    def __init__(self, loop, topics):
        super().__init__(loop, topics)
        self.links = {}  # By the port of the server.

    def records(self, topic):
        if topic != "keyed.servers":
            return self.topics[topic]
        return [(key, value and self.with_link(value)) for key, value in self.topics[topic]]

    def with_link(self, value):
        try:
            entry = json.loads(value)
            port = int(entry["address"].split(":")[1])
        except (ValueError, TypeError, LookupError, AttributeError, RecursionError):
            return value  # Not written by an engine.
        if port not in self.links:
            return value
        entry["address"] = f"127.0.0.1:{self.links[port].port}"
        return json.dumps(entry).encode()


class HostLinks:
    """The links of one host of `fleet` to all servers of the fleet."""

    def __init__(self, fleet, view):
        self.thread = fleet.thread
        self.view = view
        self.by_engine = {}
        for engine in fleet.engines.values():
            self.add(engine)

    def add(self, engine):
        link = CutLink(self.thread.loop, engine.listed_port)
        self.thread.call(link.listen())
        self.by_engine[engine.identity] = link
        self.view.links[engine.listed_port] = link

    def cut(self, how, engines=None):
        for name in engines or self.by_engine:
            self.thread.call(self.by_engine[name].cut(how))

    def heal(self):
        for link in self.by_engine.values():
            self.thread.call(link.heal())

    def close(self):
        for link in self.by_engine.values():
            self.thread.call(link.close())
