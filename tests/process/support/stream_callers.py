"""Callers that check each piece of what they get, over all attempts of a request."""

import asyncio
import collections
import random
import re
import time

from support.route_fleet import KEY

NOT_RUN = (408, 421, 429, 503)
EVENT = re.compile(rb"(?::x*\n)?id: (\d+)\ndata: (\d+)-of-(\w+)-(\w+)-([\w.]+)\n\n")
LEAST_GAP_SECONDS = 2.0  # Without an event, after which callers abandon a stream.
CONNECT_SECONDS = 1.0
MOST_ATTEMPTS = 5


class BrokenAnswer(Exception):
    """The connection ended before the answer was complete."""


class BadAnswer(Exception):
    """Bytes that are no answer in HTTP/1.1."""


class Connection:
    """A connection to a host, on which one request at a time is sent."""

    def __init__(self, host, reader, writer):
        self.host = host
        self.reader = reader
        self.writer = writer
        self.is_kept = False  # It has served a request before.
        self.usable_until = 0

    @staticmethod
    async def open(host):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", host.caller), CONNECT_SECONDS)
        return Connection(host, reader, writer)

    async def send(self, method, target, fields, body):
        head = f"{method} {target} HTTP/1.1\r\nHost: rounds.example\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        await self.writer.drain()

    async def read_head(self):
        try:
            data = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError) as failure:
            raise BrokenAnswer from failure
        lines = data.decode("latin-1").split("\r\n")
        words = lines[0].split(" ", 2)
        if words[0] != "HTTP/1.1" or not words[1].isdigit() or not 200 <= int(words[1]) <= 599:
            raise BadAnswer(f"no status line: {data[:80]!r}")
        pairs = [line.split(":", 1) for line in lines[1:] if line]
        return int(words[1]), {name.strip().lower(): value.strip() for name, value in pairs}

    async def pieces(self, fields):
        """Yields the pieces of the body; raises BrokenAnswer if it ends early."""
        try:
            if "content-length" in fields:
                yield await self.reader.readexactly(int(fields["content-length"]))
            elif fields.get("transfer-encoding") == "chunked":
                async for chunk in self.chunks():
                    yield chunk
            else:
                while piece := await self.reader.read(65536):
                    yield piece
        except (asyncio.IncompleteReadError, OSError) as failure:
            raise BrokenAnswer from failure

    async def chunks(self):
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2]
            if not re.fullmatch(rb"[0-9a-fA-F]+", line):
                raise BadAnswer(f"no chunk size: {line[:80]!r}")
            data = await self.reader.readexactly(int(line, 16) + 2)
            if data[-2:] != b"\r\n":
                raise BadAnswer(f"no end of a chunk: {data[-20:]!r}")
            if len(data) == 2:
                return
            yield data[:-2]

    def has_stray_bytes(self):
        return bool(self.reader._buffer)

    def close(self):
        self.writer.transport.abort()


class Attempt:
    """One attempt of a caller, and how it ended."""

    def __init__(self, request, host):
        self.request = request
        self.host = host
        self.begun = time.monotonic()
        self.took = 0
        self.left = 0  # Until the deadline, at the end.
        self.status = 0
        self.end = ""  # complete, broken, abandoned, refused or no-connection.
        self.first = self.last = None  # Events.
        self.is_kept = False
        self.body = b""

    def was_refused(self):
        return self.end == "refused" and self.status in NOT_RUN

    def __repr__(self):
        return (f"{self.request}@{self.host.name}:{self.status}:{self.end}:"
                f"{self.first}-{self.last}:{self.took:.2f}s{':kept' if self.is_kept else ''}")


class Report:
    """What the callers saw: violations by kind, and the attempts of each request."""

    def __init__(self):
        self.violations = []  # (kind, request, text)
        self.counts = collections.Counter()
        self.streams = {}  # Attempts by the id of the first one.
        self.calls = {}  # (kind, attempts) by the id of the first one.
        self.once = set()  # Streams that may not be resumed.

    def add(self, kind, request, text):
        self.violations.append((kind, request, text))


class StreamCheck:
    """Checks the events of one stream over all of its attempts."""

    def __init__(self, report, origin, events):
        self.report = report
        self.origin = origin
        self.events = events
        self.last = 0
        self.run = None  # Service and version of the last event.
        self.pending = b""

    def begin_attempt(self):
        self.pending = b""

    def take(self, attempt, piece):
        """Checks a piece; returns whether it completed an event."""
        self.pending += piece
        before = self.last
        while (end := self.pending.find(b"\n\n")) >= 0:
            event, self.pending = self.pending[:end + 2], self.pending[end + 2:]
            self.take_event(attempt, event)
        return self.last > before

    def take_event(self, attempt, event):
        match = EVENT.fullmatch(event)
        if not match or match[1] != match[2] or match[5].decode() != self.origin:
            self.report.add("NO-EVENT", self.origin, f"{attempt}: {event[:200]!r}")
            return
        number = int(match[1])
        run = (match[3], match[4])
        if self.run not in (None, run):
            self.report.add("TWO-RUNS", self.origin,
                            f"{attempt}: event {number} of {run} after {self.last} of {self.run}")
        if number != self.last + 1:
            kind = "MISSING" if number > self.last else "REPEATED"
            self.report.add(kind, self.origin, f"{attempt}: event {number} after {self.last}")
        self.run = run
        attempt.first = attempt.first or number
        attempt.last = number
        self.last = max(self.last, number)

    def end_complete(self, attempt):
        if self.pending:
            self.report.add("NO-EVENT", self.origin, f"{attempt}: ends with {self.pending[:200]!r}")
        self.report.counts["early ends"] += self.last < self.events
        if self.last < self.events:
            self.report.add("EARLY-END", self.origin,
                            f"{attempt}: complete after event {self.last} of {self.events}")


class Caller:
    """Sends requests one after another, over kept connections and new ones."""

    def __init__(self, name, hosts, report, seed, gap_seconds=LEAST_GAP_SECONDS, events=40,
                 stream_seconds=9.0, call_seconds=3.0, idle_seconds=1.0, kept_share=0.6,
                 names_begun=False, once_share=0, repeat_share=0):
        self.name = name
        self.hosts = hosts
        self.report = report
        self.random = random.Random(f"{seed}/{name}")
        self.gap_seconds = max(LEAST_GAP_SECONDS, gap_seconds)
        self.events = events
        self.stream_seconds = stream_seconds
        self.call_seconds = call_seconds
        self.idle_seconds = idle_seconds  # For which an idle connection is used again.
        self.kept_share = kept_share
        # Resumes names the attempt that brought the first event instead of the first attempt.
        self.names_begun = names_begun
        self.once_share = once_share  # Of the streams, on the route that has no stream_resume.
        self.repeat_share = repeat_share  # Of the refused attempts, sent again under their id.
        self.idle = []
        self.number = 0

    async def connect(self, host, is_first):
        """An idle connection to the host or, for a repeated attempt, always a new one."""
        now = time.monotonic()
        for one in [one for one in self.idle if one.usable_until < now]:
            one.close()
            self.idle.remove(one)
        usable = [one for one in self.idle if one.host is host]
        if is_first and usable and self.random.random() < self.kept_share:
            self.idle.remove(usable[0])
            return usable[0]
        return await Connection.open(host)

    def keep(self, connection, fields, request):
        if connection.has_stray_bytes():
            self.report.add("STRAY", request, f"{bytes(connection.reader._buffer[:120])!r}")
        is_closing = fields.get("connection", "").lower() == "close"
        if is_closing or not ("content-length" in fields or "transfer-encoding" in fields):
            connection.close()
            return
        limit = re.search(r"timeout=(\d+)", fields.get("keep-alive", ""))
        seconds = min(self.idle_seconds, int(limit[1]) if limit else self.idle_seconds)
        connection.is_kept = True
        connection.usable_until = time.monotonic() + 0.8 * seconds
        self.idle.append(connection)

    async def attempt(self, attempt, is_first, method, target, fields, deadline, read, body=b"",
                      head_seconds=3600):
        """Sends one attempt; `read` takes the connection and the head, and reads the body."""
        connection = None
        try:
            connection = await self.connect(attempt.host, is_first)
            attempt.is_kept = connection.is_kept
            left = max(1, int((deadline - time.monotonic()) * 1000))
            fields = {"Quincefall-Request-Id": attempt.request, "Quincefall-Credential": KEY,
                      "Quincefall-Deadline-Ms": str(left), **fields}
            await connection.send(method, target, fields, body)
            limit = min(head_seconds, deadline - time.monotonic())
            attempt.status, head = await asyncio.wait_for(connection.read_head(), max(0.01, limit))
            if attempt.status // 100 == 2 and "quincefall-response-stamp" not in head:
                self.report.add("MIXED", attempt.request, f"{attempt}: 2xx without a stamp")
            if head.get("quincefall-request-id", attempt.request) != attempt.request:
                self.report.add("MIXED", attempt.request, f"{attempt}: {head}")
            await read(connection, head)
            attempt.end = "complete" if attempt.status // 100 == 2 else "refused"
            self.keep(connection, head, attempt.request)
            connection = None
            return head
        except (asyncio.TimeoutError, TimeoutError):
            attempt.end = "abandoned" if connection else "no-connection"
        except BrokenAnswer:
            attempt.end = "broken"
        except BadAnswer as failure:
            attempt.end = "broken"
            self.report.add("MIXED", attempt.request, f"{attempt}: {failure}")
        except OSError:
            attempt.end = "broken" if connection else "no-connection"
        finally:
            attempt.took = time.monotonic() - attempt.begun
            attempt.left = deadline - time.monotonic()
            if connection:
                connection.close()
        return {}

    async def pause_before_retry(self, head, deadline):
        left = deadline - time.monotonic()
        wait = min(float(head.get("retry-after", 0) or 0), left / 3)
        await asyncio.sleep(max(0.05, wait))

    def next_attempt(self, request, attempts):
        """The next attempt, at any host; after a refusal it may be a repeat under the same id."""
        last = attempts[-1] if attempts else None
        name = f"{request}.{len(attempts)}" if last else request
        host = self.random.choice(self.hosts)
        if last and last.was_refused() and self.random.random() < self.repeat_share:
            name, host = last.request, self.random.choice((last.host, host))
        attempts.append(Attempt(name, host))
        return attempts[-1]

    async def stream(self, request, is_once=False):
        """A stream, taken up at other hosts until it is complete or its deadline has passed.

        One that `is_once` has a single attempt, unless that is refused and repeats are allowed.
        """
        path = "/once/" if is_once else "/stream/"
        if is_once:
            self.report.once.add(request)
        check = StreamCheck(self.report, request, self.events)
        deadline = time.monotonic() + self.stream_seconds
        attempts = self.report.streams[request] = []
        while len(attempts) < MOST_ATTEMPTS and deadline - time.monotonic() > 0.3:
            attempt = self.next_attempt(request, attempts)
            check.begin_attempt()

            async def read(connection, head, attempt=attempt):
                pieces = connection.pieces(head)
                progress = time.monotonic()
                while True:
                    limit = min(progress + self.gap_seconds, deadline) - time.monotonic()
                    try:
                        piece = await asyncio.wait_for(anext(pieces), max(0.001, limit))
                    except StopAsyncIteration:
                        break
                    if attempt.status == 200 and check.take(attempt, piece):
                        progress = time.monotonic()
                if attempt.status == 200:
                    check.end_complete(attempt)

            begun = next((one.request for one in attempts if one.first), None)
            origin = begun if self.names_begun else request
            names_origin = not is_once and origin not in (None, attempt.request)
            fields = {"Resumes": origin} if names_origin else {}
            if check.last:
                fields["Last-Event-Id"] = str(check.last)
            head = await self.attempt(attempt, len(attempts) == 1, "GET", path + request,
                                      fields, deadline, read, head_seconds=self.gap_seconds)
            if attempt.end == "complete" or attempt.status in (400, 401, 404, 413, 431):
                break
            if is_once and not (attempt.was_refused() and self.repeat_share > 0):
                break
            await self.pause_before_retry(head, deadline)
        self.count("once-stream" if is_once else "stream", attempts)

    async def call(self, request, kind):
        """A plain call; one that must not be repeated is sent again only if it was not run."""
        deadline = time.monotonic() + self.call_seconds
        attempts = []
        self.report.calls[request] = (kind, attempts)
        while len(attempts) < MOST_ATTEMPTS and deadline - time.monotonic() > 0.1:
            attempt = self.next_attempt(request, attempts)

            async def read(connection, head, attempt=attempt):
                async def whole():
                    return b"".join([piece async for piece in connection.pieces(head)])
                attempt.body = await asyncio.wait_for(
                    whole(), max(0.01, deadline - time.monotonic()))
                if attempt.status == 200 and attempt.body != f"done:{attempt.request}x".encode():
                    self.report.add("MIXED", attempt.request, f"{attempt}: {attempt.body[:200]!r}")

            head = await self.attempt(attempt, len(attempts) == 1, "POST", f"/{kind}/{request}", {},
                                      deadline, read, b"x")
            if attempt.end == "complete" or attempt.status in (400, 401, 404, 413, 431):
                break
            if kind == "book" and not attempt.was_refused():
                break
            await self.pause_before_retry(head, deadline)
        self.count(kind, attempts)

    def count(self, kind, attempts):
        counts = self.report.counts
        counts[f"{kind}s"] += 1
        counts[f"{kind}s complete"] += attempts[-1].end == "complete"
        counts[f"{kind} attempts"] += len(attempts)
        for attempt in attempts:
            if attempt.end != "complete":
                counts[f"{kind} {attempt.end} {attempt.status}"] += 1

    async def run(self, end):
        await asyncio.sleep(self.random.uniform(0, 0.5))
        while time.monotonic() < end:
            self.number += 1
            request = f"{self.name}x{self.number}"
            kind = self.random.choice(("stream", "stream", "stream", "read", "book"))
            if kind == "stream":
                is_once = self.once_share > 0 and self.random.random() < self.once_share
                await self.stream(request, is_once)
            else:
                await self.call(request, kind)
            await asyncio.sleep(self.random.uniform(0, 0.1))
        for one in self.idle:
            one.close()
