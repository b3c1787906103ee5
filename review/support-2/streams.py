"""Engines that write streams, and callers that take a broken stream up again."""

import asyncio
import re
import time

from bench import read_head, request_head, reset
from support.ports import free_ports


class StreamEngine:
    """A model engine. Each event names its number, the software version and the service.

    `listed_version` is what its entry in the store says; start_again() lets another process take its
    place under the same id.
    """

    def __init__(self, name, service, version, record, events=40, event_seconds=0.25):
        self.name, self.service, self.version, self.record = name, service, version, record
        self.events, self.event_seconds = events, event_seconds
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.channels = set()
        self.port = free_ports(1)[0]

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "espoo",
                "version": self.version, "slots": 64, "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def start_again(self, version, away_seconds):
        self.server.close()
        for writer in list(self.channels):
            reset(writer)
        self.record("engine", self.name, "ends")
        await asyncio.sleep(away_seconds)
        self.version, self.born, self.sequence = version, int(time.time() * 1000), 1
        await self.start()
        self.record("engine", self.name, "starts again under its id, with software", version)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(writer, first, fields)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def answer(self, writer, first, fields):
        if first.split()[1] == "/-/report":
            body = (f'{{"stage":"unified","models":[],"busy":false,"sequence":0,"waiting":0,'
                    f'"running":0,"kv_used":0,"kv_total":0,"handles":0,"born":{self.born}}}').encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            return await writer.drain()
        request = fields["quincefall-request-id"]
        echo = f"Quincefall-Request-Id: {request}\r\n"
        if fields.get("quincefall-expect-instance") != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{echo}Quincefall-Not-Run: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        after = int(fields.get("last-event-id", 0))
        self.record("engine", self.name, f"({self.service}, {self.version}) runs", request, "after",
                    after)
        writer.write((f"HTTP/1.1 200 OK\r\n{echo}Quincefall-Response-Stamp: {self.name}.{request}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {number} {self.version} {self.service}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


MAX_TRIES = 10
BROKEN_CHANNEL_PAUSE = 0.4  # Seconds until the next try.
REFUSED_CHANNEL_PAUSE = 0.5


class StreamCaller:
    """One stream over all tries of its client, which honours Retry-After. `events` has (number, version, service)."""

    def __init__(self, name, path, deadline_seconds, record):
        self.name, self.path, self.record = name, path, record
        self.deadline_seconds = deadline_seconds
        self.events = []
        self.tries = []  # Time sent, status, number of events that came.
        self.first_id = None  # Of the attempt that brought the first event.
        self.is_complete = False
        self.writer = None

    def versions(self):
        return {event[1] for event in self.events}

    async def run(self, port_of):
        """Tries until the stream is complete or the deadline is over; port_of(try) names the host."""
        end = time.monotonic() + self.deadline_seconds
        while not self.is_complete and time.monotonic() < end - 0.1 and len(self.tries) < MAX_TRIES:
            pause = await self.attempt(port_of(len(self.tries)), end)
            await asyncio.sleep(pause)

    async def attempt(self, port, end):
        request = f"{self.name}-{len(self.tries)}"
        fields = []
        if self.events:
            fields = [("Last-Event-Id", self.events[-1][0]), ("Resumes", self.first_id)]
        left = int((end - time.monotonic()) * 1000)
        outcome = [time.monotonic(), 0, 0]
        self.tries.append(outcome)
        self.record("caller", self.name, "sends", request,
                    f"after event {self.events[-1][0]}" if self.events else "")
        try:
            reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", port), 1)
            self.writer.write(request_head("POST", self.path, request, left, b"prompt", fields))
            first, answer = await asyncio.wait_for(read_head(reader), left / 1000)
            outcome[1] = int(first.split()[1])
            if outcome[1] != 200:
                self.record("caller", self.name, "got", outcome[1], "for", request)
                return min(float(answer.get("retry-after", 0.2)), max(left / 3000, 0.05))
            await asyncio.wait_for(self.read_events(reader, request, outcome), left / 1000)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
            self.record("caller", self.name, "lost the channel of", request, "after", outcome[2],
                        "events")
            if outcome[2] == 0:
                return REFUSED_CHANNEL_PAUSE
        finally:
            if self.writer:
                self.writer.close()
        return BROKEN_CHANNEL_PAUSE

    async def read_events(self, reader, request, outcome):
        text = ""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                self.is_complete = True
                self.record("caller", self.name, "has the complete stream,", len(self.events), "events")
                return
            text += piece[:-2].decode()
            while "\n\n" in text:
                event, text = text.split("\n\n", 1)
                found = re.fullmatch(r"id: (\d+)\ndata: \1 (\S+) (\S+)", event)
                if not self.events:
                    self.first_id = request
                self.events.append((int(found[1]), found[2], found[3]))
                outcome[2] += 1
                if outcome[2] == 1 or self.events[-1][1:] != self.events[-2][1:]:
                    self.record("caller", self.name, "got event", *self.events[-1], "of", request)
