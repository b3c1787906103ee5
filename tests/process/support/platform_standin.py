"""Stand-in for the users' platform on loopback: a store with keyed topics, engines and services.

All servers run on one event-loop thread and implement the part of the published protocol that the
tests need. Tests set faults and read state through attributes from their own thread while the
servers run.
"""

import asyncio
import base64
import collections
import json
import struct
import threading
import time
import urllib.parse

from support.ports import free_ports
from support.resets import reset


def parse_head(data):
    """Parses a request head into method, target and header fields (names in lower case)."""
    lines = data.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return method, target, fields


class LoopThread:
    """An event loop that runs in its own thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    async def cancel_all(self):
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        self.call(self.cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


class HttpServer:
    """HTTP server on one port. `answer` handles each request and writes the response; it returns
    False to close the connection."""

    def __init__(self, loop, answer):
        self.loop = loop
        self.answer = answer
        self.port = 0
        self.server = None
        self.connections = set()
        self.busy = set()  # Connections with a request that is being answered.
        self.process = 0  # Number of the process that accepts connections; see die().
        self.idle_seconds = None  # After which a connection without a request is closed.
        self.most_connections = None  # Those beyond it are reset.

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 port or free_ports(1)[0])
        self.port = self.server.sockets[0].getsockname()[1]

    def close_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def close(self):
        self.server.close()
        self.close_connections()

    async def die(self, late_seconds=0):
        """Ends as a killed process does whose address another one takes at once. Connections that
        are in use end in good order, the others only after `late_seconds`; on those nobody answers.
        """
        self.process += 1
        idle = self.connections - self.busy
        for writer in list(self.busy):
            writer.transport.abort()
        await asyncio.sleep(late_seconds)
        for writer in idle:
            writer.transport.abort()

    def stop_answering(self):
        """Stops to listen and to answer; returns the open connections, which are still to be closed."""
        self.process += 1
        self.server.close()
        return list(self.connections)

    async def answers_unread(self, reader, writer, target, fields):
        """Whether the request was answered without its body; the connection is closed then."""
        return False

    async def serve(self, reader, writer):
        if self.most_connections is not None and len(self.connections) >= self.most_connections:
            return reset(writer)
        self.connections.add(writer)
        process = self.process
        try:
            while True:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), self.idle_seconds)
                method, target, fields = parse_head(head[:-4])
                if await self.answers_unread(reader, writer, target, fields):
                    break
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if process != self.process:
                    await asyncio.sleep(3600)
                self.busy.add(writer)
                is_kept = await self.answer(writer, method, target, fields, body)
                self.busy.discard(writer)
                if not is_kept:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.TimeoutError,
                ConnectionError, OSError):
            pass  # The connection was closed or idle for too long, or the test ended.
        finally:
            self.connections.discard(writer)
            self.busy.discard(writer)
            writer.close()


def answer_bytes(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"\r\n" + body


SLOW_PIECE_SECONDS = 0.05


class Store:
    """A log with keyed topics; log-newest returns the newest record of each key.

    `mode` is "ok", "refuse" (503) or "hang" (no response). `calls` counts requests by path,
    `topic_calls` by topic. `era` is sent with all answers unless it is None. Appends to
    `lost_topic` are stored, but get no answer; those to `dropped_topics` are answered, but not
    stored. Calls for `refused_topics` get 503. Answers take their time at `bytes_per_second`.
    """

    def __init__(self, loop, topics=None):
        self.server = HttpServer(loop, self.answer)
        self.era = 1
        self.topics = collections.defaultdict(list) if topics is None else topics
        self.mode = "ok"
        self.calls = collections.Counter()
        self.topic_calls = collections.Counter()
        self.lost_topic = None
        self.dropped_topics = set()
        self.refused_topics = set()
        self.bytes_per_second = None

    def put(self, topic, key, value):
        """Appends a record; a `value` of None deletes the key."""
        self.put_bytes(topic, key, None if value is None else json.dumps(value).encode())

    def put_bytes(self, topic, key, value):
        """Appends a record of any bytes; those of `key` are surrogates where they aren't UTF-8."""
        self.topics[topic].append((key, value))

    def copy(self):
        """A copy of the store's content for come_back_from()."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def come_back_from(self, copy):
        """Replaces the content with an older copy, in a new era. Open connections are reset."""
        self.topics.clear()
        self.topics.update({topic: list(records) for topic, records in copy.items()})
        if self.era is not None:
            self.era += 1
        for writer in list(self.server.connections):
            reset(writer)

    def records(self, topic):
        return self.topics[topic]

    def newest(self, topic):
        items = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            items[key] = (value, offset)
        def shown(key):
            return key.encode(errors="surrogateescape").decode(errors="replace")

        return [{"key": shown(key), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in items.items() if value is not None]

    async def read(self, topic, start, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while len(self.topics[topic]) <= start and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        records = self.records(topic)[start:]
        body = struct.pack(">QQ", len(self.topics[topic]), 0)
        for key, value in records:
            name = key.encode(errors="surrogateescape")
            content = bytes([len(name)]) + name + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return body

    def append(self, topic, at, content):
        """Appends a record, if the topic ends at `at` or that is None; returns status and body."""
        records = self.topics[topic] if topic not in self.dropped_topics else []
        if at is not None and int(at) != len(records):
            return 412, {"end": len(records)}
        size = content[0]
        records.append((content[1:1 + size].decode(), content[1 + size:] or None))
        return 200, {"offset": len(records) - 1, "end": len(records)}

    def answer_bytes(self, status, body=b""):
        era = [] if self.era is None else [("Store-Era", self.era)]
        return answer_bytes(status, body, era)

    async def send(self, writer, data):
        if self.bytes_per_second is None:
            writer.write(data)
            return
        size = max(1, int(self.bytes_per_second * SLOW_PIECE_SECONDS))
        for start in range(0, len(data), size):
            writer.write(data[start:start + size])
            await writer.drain()
            await asyncio.sleep(SLOW_PIECE_SECONDS)

    async def answer(self, writer, method, target, fields, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls[url.path] += 1
        self.topic_calls[query.get("topic")] += 1
        if self.mode == "hang":
            await asyncio.sleep(3600)
        if self.mode == "refuse" or query.get("topic") in self.refused_topics:
            writer.write(self.answer_bytes(503))
        elif url.path == "/-/log-newest":
            page = {"items": self.newest(query["topic"]), "more": False,
                    "end": len(self.topics[query["topic"]])}
            await self.send(writer, self.answer_bytes(200, json.dumps(page).encode()))
        elif url.path == "/-/log-read":
            wait_ms = int(query.get("wait_ms", 0))
            start = int(query["from"])
            if start > len(self.topics[query["topic"]]):
                writer.write(self.answer_bytes(410, b'{"first":0}'))
            else:
                records = await self.read(query["topic"], start, wait_ms)
                await self.send(writer, self.answer_bytes(200, records))
        elif url.path == "/-/log-append":
            status, answer = self.append(query["topic"], query.get("at"), body[4:])
            if query["topic"] == self.lost_topic and status == 200:
                await asyncio.sleep(3600)
            writer.write(self.answer_bytes(status, json.dumps(answer).encode()))
        else:
            writer.write(self.answer_bytes(404))
        await writer.drain()
        return True


class DutyPlatform:
    """The platform's side of calls that are one host's duty.

    `mode` is "ok", "down" (503), "limited" (429), "silent" (no answer, not carried out) or "late"
    (no answer, carried out after `late_seconds`). `accepted` and `refused` have a tuple of time,
    path, holder, token and body for each call, in the order in which they were carried out.
    `unavailable` has the failure domains that have no engines to order.
    """

    def __init__(self, loop):
        self.server = HttpServer(loop, self.answer)
        self.mode = "ok"
        self.late_seconds = 1.0
        self.accepted = []
        self.refused = []
        self.tokens = collections.defaultdict(int)
        self.unavailable = set()
        self.tasks = []

    @staticmethod
    def subject(path, body):
        return (path, body.get("service"), body.get("zone"))

    def carry_out(self, path, holder, token, body):
        call = (time.monotonic(), path, holder, token, body)
        subject = self.subject(path, body)
        if token < self.tokens[subject] or body.get("zone") in self.unavailable:
            self.refused.append(call)
            return 409
        self.tokens[subject] = token
        self.accepted.append(call)
        return 200

    async def carry_out_late(self, *call):
        await asyncio.sleep(self.late_seconds)
        self.carry_out(*call)

    async def answer(self, writer, method, target, fields, body):
        call = (target, fields["quincefall-duty-holder"], int(fields["quincefall-fence-token"]),
                json.loads(body))
        if self.mode in ("silent", "late"):
            if self.mode == "late":
                self.tasks.append(asyncio.ensure_future(self.carry_out_late(*call)))
            await asyncio.sleep(3600)
        status = {"down": 503, "limited": 429}.get(self.mode) or self.carry_out(*call)
        writer.write(answer_bytes(status))
        await writer.drain()
        return fields.get("connection") != "close"


# Runs the request and answers with a status of those by which callers take it for not run.
RUN_AND_REFUSED = ("run-408", "run-421", "run-429", "run-503")
# On a connection with an earlier answer, sends a refusal once more before the request's own answer:
# with the id of another request, or without one.
LATE_REFUSALS = {"late-refusal": [("Quincefall-Request-Id", "other")], "late-refusal-unnamed": []}
ENDLESS = ("endless-head", "endless-body", "endless-chunk", "endless-interim", "endless-other",
           "endless-rejection", "endless-extension", "endless-trailer")


class Engine:
    """An engine or a plain service. A stream has `events` events.

    `fault` is None or one of "cut" (the connection is reset in the middle of the third event),
    "hang" (runs, no response), "error" (runs, then 500), "full" (503, not run), "reset" (runs, then
    resets the connection), "crossed" (sends another request's response first) and "unstamped" (no
    Quincefall-Response-Stamp), "unframed" (neither length nor chunks; the connection ends the
    answer), "unframed-cut" (the same, ending inside the third event), "unframed-reset",
    "unframed-early" (ending after the third event), "unframed-empty" (before the first one) and
    "unframed-killed" (a plain answer of which the engine is killed, as seen from outside) and
    "plain-replaced" (the same, and another process listens at once) and "plain-early" (a plain
    answer that the engine, which lives, ends early); or one of
    ENDLESS, which sends bytes until the caller closes: in the head, in the body, in chunks, as
    interim answers, in an answer to another request, in the body of a rejection, in the extension
    of a chunk or in the trailer; or one of
    LATE_REFUSALS or RUN_AND_REFUSED; or "head-cut" and "head-silent": the answer stops after
    `head_bytes` of its head, with a close or in silence. `faults_left` is the number of requests that the fault still applies
    to. `pause` is the value of Retry-After with "full"; None leaves it out. With `is_leaving`, all
    answers say so. `limit` is the value of Server-Limit in all answers unless None. `arrivals` counts all requests, also those that are turned away.

    A stream whose prompt has `deadly_part` crashes the engine just after its first event: all
    connections are reset, and new ones are refused for `down_seconds`. A request of which target,
    organisation and body are one of `deadly_requests` crashes it before the answer begins or, with
    `deadly_after_event`, a stream after its first event.
    """

    def __init__(self, loop, identity, service):
        self.server = HttpServer(loop, self.answer)
        self.identity = identity
        self.service = service
        self.listed_port = 0
        self.events = 6
        self.version = "v1"  # Of its software.
        self.shows_version = False  # In each event.
        self.event_seconds = 0.02
        self.fault = None
        self.faults_left = 10 ** 9
        self.announces_close = False  # The heads of answers without framing say that they close.
        self.continuation = None  # Answers requests with Last-Event-Id; see send_continuation().
        self.head_bytes = 0  # Sent with "head-cut" and "head-silent".
        self.pause = None
        self.refusal_status = 503  # With "full".
        self.is_leaving = False
        self.limit = None
        self.keep_alive = None  # Idle time limit that answers name, in whole seconds.
        self.brittle = None  # Value of Server-Brittle in all answers unless None.
        self.call_seconds = 0  # Work of a call that is no stream.
        self.capacity = None  # Requests that run at the same time; others are turned away.
        self.running = 0
        self.rejections = []  # Times.
        self.refusal_copies = 0  # Of each refusal; see refuse().
        self.copy_seconds = 0  # From the arrival of the next request until the copies are sent.
        self.due_copies = {}  # Bytes by connection.
        self.copies_sent = collections.Counter()  # By the id of the request that is under way.
        self.copies_before_reports = 0  # Times that copies were sent where a report was due.
        self.report_seconds_after_copies = 0.02
        self.arrivals = 0
        self.arrival_times = []
        self.runs = collections.Counter()
        self.request_heads = {}
        self.aborted_streams = collections.Counter()
        self.reports = 0  # Calls that ask the engine for its state.
        self.closes_after_report = lambda number: False
        self.answered_connections = set()
        self.endless_bytes = 0
        self.endless_gap_seconds = 0
        self.silent_until = 0  # Until then nothing is sent, though the engine is sound.
        # Bytes of the event at hand that are sent before a silence, and at once after it.
        self.silence_splits_event = None
        self.deadly_part = None
        self.deadly_requests = set()
        self.deadly_after_event = False
        self.down_seconds = 1.0
        self.born = 1700000000000  # Start of its process, Unix time in milliseconds.
        self.on_start = None  # Called with the engine when another process takes its place.
        self.deadly_arrivals = []  # Times.
        self.crashes = []  # Times.
        self.tasks = []

    def is_deadly(self, fields):
        parts = fields.get("quincefall-prompt-prefix", "").split(",")[:-1]
        return self.deadly_part in [part.split(":")[0] for part in parts]

    def is_deadly_request(self, target, fields, body):
        return (target, fields.get("quincefall-tenant"), body) in self.deadly_requests

    async def crash(self):
        """Ends as a killed process does. Without `down_seconds` another one listens at once and,
        with `on_start`, is listed."""
        self.crashes.append(time.monotonic())
        if self.down_seconds == 0:
            self.server.close_connections()
            if self.on_start:
                self.born = int(time.time() * 1000)
                self.on_start(self)
            return
        await self.server.close()
        await asyncio.sleep(self.down_seconds)
        await self.server.listen(self.server.port)

    async def keep_silent(self):
        await asyncio.sleep(max(0, self.silent_until - time.monotonic()))

    async def send_piece(self, writer, event, size):
        writer.write(b"%x\r\n%s\r\n" % (size, event[:size]) if size > 0 else b"")
        await writer.drain()
        return event[size:]

    async def pass_silence(self, writer, event):
        """Waits for the end of a silence; the part of the event that is still to be sent."""
        if time.monotonic() >= self.silent_until:
            return event
        before, after = self.silence_splits_event or (0, 0)
        event = await self.send_piece(writer, event, before)
        await self.keep_silent()
        event = await self.send_piece(writer, event, after)
        await asyncio.sleep(0.1 if after > 0 else 0)
        return event

    def entry(self, state="ready", sequence=1):
        return {"service": self.service, "address": f"127.0.0.1:{self.listed_port}",
                "zone": "a", "version": self.version, "slots": 8, "state": state,
                "cold_remaining_ms": 0, "sequence": sequence, "born": self.born}

    def next_fault(self):
        if self.fault is None or self.faults_left <= 0:
            return None
        self.faults_left -= 1
        return self.fault

    async def answer(self, writer, method, target, fields, body):
        if target == "/-/report":
            return await self.report(writer)
        request = fields.get("quincefall-request-id", "")
        if await self.send_due_copies(writer):
            self.copies_sent[request] += 1
        self.arrivals += 1
        self.arrival_times.append(time.monotonic())
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        leaving += [] if self.limit is None else [("Server-Limit", self.limit)]
        leaving += [] if self.keep_alive is None else [("Keep-Alive", f"timeout={self.keep_alive}")]
        leaving += [] if self.brittle is None else [("Server-Brittle", self.brittle)]
        echo = [("Quincefall-Request-Id", request)]
        if fields.get("quincefall-expect-instance") != self.identity:
            return await self.refuse(writer, 421,
                                     echo + [("Quincefall-Instance-Id", self.identity)])
        is_deadly_request = self.is_deadly_request(target, fields, body)
        if is_deadly_request or self.is_deadly(fields):
            self.deadly_arrivals.append(time.monotonic())
        fault = self.next_fault()
        await self.keep_silent()
        if fault == "full":
            pause = [] if self.pause is None else [("Retry-After", self.pause)]
            return await self.refuse(writer, self.refusal_status,
                                     echo + [("Quincefall-Not-Run", "1")] + pause + leaving)
        if self.capacity is not None and self.running >= self.capacity:
            return await self.reject(writer, echo + leaving)
        self.running += 1
        try:
            return await self.run(writer, method, target, fields, body, request, leaving, fault)
        finally:
            self.running -= 1

    async def report(self, writer):
        self.reports += 1
        await self.keep_silent()
        if await self.send_due_copies(writer):
            self.copies_before_reports += 1
            # Read apart from the report, the copies are all that the connection has brought.
            await asyncio.sleep(self.report_seconds_after_copies)
        state = {"stage": "unified", "models": [], "busy": False, "sequence": 0, "waiting": 0,
                 "running": self.running, "kv_used": 0, "kv_total": 0, "handles": 0,
                 "born": self.born}
        closes = self.closes_after_report(self.reports)
        fields = [("Connection", "close")] if closes else []
        writer.write(answer_bytes(200, json.dumps(state).encode(), fields))
        await writer.drain()
        return not closes

    async def reject(self, writer, fields):
        """Turns a request away. A brittle engine crashes when it has to do so too often."""
        now = time.monotonic()
        self.rejections.append(now)
        recent = [at for at in self.rejections if at > now - 1]
        if self.brittle is not None and len(recent) > self.brittle:
            self.tasks.append(asyncio.create_task(self.crash()))
            return False
        return await self.refuse(writer, 503, [("Quincefall-Not-Run", "1")] + fields)

    async def refuse(self, writer, status, fields):
        """Turns a request away. The answer comes again, `refusal_copies` times, where the answer to
        the next request or call for a report on the connection is due."""
        refusal = answer_bytes(status, b"", fields)
        writer.write(refusal)
        if self.refusal_copies > 0:
            self.due_copies[writer] = refusal * self.refusal_copies
        await writer.drain()
        return True

    async def send_due_copies(self, writer):
        """Whether there were any."""
        copies = self.due_copies.pop(writer, None)
        if copies is None:
            return False
        await asyncio.sleep(self.copy_seconds)
        writer.write(copies)
        await writer.drain()
        return True

    async def run(self, writer, method, target, fields, body, request, leaving, fault):
        self.runs[request] += 1
        self.request_heads[request] = dict(fields, method=method, target=target, body=body)
        is_deadly_request = self.is_deadly_request(target, fields, body)
        is_stream = target.startswith(("/stream/", "/once/"))
        crashes_stream = is_deadly_request and is_stream and self.deadly_after_event
        if is_deadly_request and not crashes_stream:
            await asyncio.sleep(0.03)
            self.tasks.append(asyncio.create_task(self.crash()))
            return False
        echo = [("Quincefall-Request-Id", request)] + leaving
        if self.announces_close and fault and fault.startswith(("unframed", "plain")):
            echo.append(("Connection", "close"))
        if self.continuation and "last-event-id" in fields:
            return await self.send_continuation(writer, request, int(fields["last-event-id"]))
        stamp = [] if fault == "unstamped" else [
            ("Quincefall-Response-Stamp", f"{self.identity}.{request}")]
        if fault in ENDLESS:
            return await self.send_without_end(writer, fault, echo + stamp)
        if fault in ("head-cut", "head-silent"):
            head = answer_bytes(200, b"", echo + stamp)
            writer.write(head[:self.head_bytes])
            await writer.drain()
            await asyncio.sleep(3600 if fault == "head-silent" else 0)
            return False
        if fault == "hang":
            await asyncio.sleep(3600)
        if fault == "reset":
            reset(writer)
            return False
        if fault == "crossed":
            writer.write(answer_bytes(200, b"not yours", [
                ("Quincefall-Request-Id", "other"), ("Quincefall-Response-Stamp", "x")]))
        if fault in LATE_REFUSALS and writer in self.answered_connections:
            writer.write(answer_bytes(503, b"", [("Quincefall-Not-Run", "1")]
                                      + LATE_REFUSALS[fault]))
        self.answered_connections.add(writer)
        if fault in RUN_AND_REFUSED:
            writer.write(answer_bytes(int(fault[4:]), b"", echo + stamp))
        elif fault == "error":
            writer.write(answer_bytes(500, b"failed", echo + stamp))
        elif fault == "plain-replaced":
            writer.write(answer_bytes(200, b"", echo + stamp).replace(b"Content-Length: 0\r\n", b"")
                         + b"done:")
            await writer.drain()
            await self.server.die()
            return False
        elif is_stream:
            return await self.stream(writer, fields, request, echo + stamp, fault, crashes_stream)
        elif fault == "unframed":
            writer.write(answer_bytes(200, b"", echo + stamp).replace(b"Content-Length: 0\r\n", b"")
                         + b"done:" + request.encode() + body)
            await writer.drain()
            return False
        elif fault == "plain-early":
            writer.write(answer_bytes(200, b"", echo + stamp).replace(b"Content-Length: 0\r\n", b"")
                         + b"done:" + self.identity.encode())
            await writer.drain()
            return False
        elif fault == "unframed-killed":
            writer.write(answer_bytes(200, b"", echo + stamp).replace(b"Content-Length: 0\r\n", b"")
                         + b"done:")
            await writer.drain()
            await self.server.close()
            return False
        else:
            await asyncio.sleep(self.call_seconds)
            writer.write(answer_bytes(200, b"done:" + request.encode() + body, echo + stamp))
        await writer.drain()
        return True

    async def send_continuation(self, writer, request, after):
        """Sends the status line with more fields, and the body, that `continuation` returns for the
        last event; in chunks of `chunk` bytes if that is set, else with a length."""
        start, body, chunk = self.continuation(after)
        head = start + f"Quincefall-Request-Id: {request}\r\n"
        if chunk is None and body is not None:
            head += f"Content-Length: {len(body)}\r\n"
        if chunk is not None:
            head += "Transfer-Encoding: chunked\r\n"
            pieces = [body[at:at + chunk] for at in range(0, len(body), chunk)] + [b""]
            body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
        writer.write(head.encode() + b"\r\n" + (body or b""))
        await writer.drain()
        return True

    async def send_without_end(self, writer, fault, headers):
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
        ok = f"HTTP/1.1 200 OK\r\n{fields}"
        other = "HTTP/1.1 200 OK\r\nQuincefall-Request-Id: other\r\n\r\n"
        start, rest = {
            "endless-head": (ok + "X-Filler: ", "x" * 1024),
            "endless-body": (ok + "\r\n", "x" * 1024),
            "endless-chunk": (ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + "x" * 1024 + "\r\n"),
            "endless-interim": ("", "HTTP/1.1 102 Processing\r\n\r\n"),
            "endless-other": (other, "x" * 1024),
            "endless-rejection": (f"HTTP/1.1 503 X\r\n{fields}Quincefall-Not-Run: 1\r\n\r\n",
                                  "x" * 1024),
            "endless-extension": (ok + "Transfer-Encoding: chunked\r\n\r\n5;a=", "x" * 1024),
            "endless-trailer": (ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                "X-Filler: " + "x" * 1012 + "\r\n"),
        }[fault]
        writer.write(start.encode())
        try:
            while True:
                writer.write(rest.encode() * (1 if self.endless_gap_seconds else 64))
                self.endless_bytes += len(rest)
                await writer.drain()
                await asyncio.sleep(self.endless_gap_seconds)
        except (ConnectionError, OSError):
            return False

    async def stream(self, writer, fields, request, headers, fault, crashes=False):
        first = int(fields.get("last-event-id", 0)) + 1
        is_unframed = fault is not None and fault.startswith("unframed")
        framing = "" if is_unframed else "Transfer-Encoding: chunked\r\n"
        head = f"HTTP/1.1 200 OK\r\n{framing}Content-Type: text/event-stream\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write(head.encode() + b"\r\n")
        if fault == "unframed-empty":
            await writer.drain()
            return False
        for number in range(first, self.events + 1):
            shown = f"-{self.version}" if self.shows_version else ""
            event = f"id: {number}\ndata: {number}-of-{self.service}{shown}\n\n".encode()
            event = await self.pass_silence(writer, event)
            if is_unframed:
                is_end = number == first + 2 and fault != "unframed"
                is_cut = is_end and fault != "unframed-early"
                writer.write(event[:len(event) // 2] if is_cut else event)
                await writer.drain()
                await asyncio.sleep(self.event_seconds)
                if is_end and fault == "unframed-reset":
                    reset(writer)
                if is_end:
                    return False
                continue
            if fault == "cut" and number == first + 2:
                half = event[:len(event) // 2]
                writer.write(b"%x\r\n%s\r\n" % (len(half), half))
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            try:
                await writer.drain()
            except ConnectionError:
                self.aborted_streams[request] += 1
                return False
            if crashes or self.is_deadly(fields):
                await asyncio.sleep(0.03)
                self.tasks.append(asyncio.create_task(self.crash()))
                return False
            await asyncio.sleep(self.event_seconds)
        if is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def complete_stream(events=6, service="engines"):
    """The body of a complete stream."""
    return "".join(f"id: {n}\ndata: {n}-of-{service}\n\n" for n in range(1, events + 1))
