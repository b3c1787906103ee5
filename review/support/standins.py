"""Stand-ins for the platform's store, its engines and its duty calls, as the users' pages describe
them: all on loopback, in one event loop."""

import asyncio
import base64
import json
import struct
import time


class BadMessage(Exception):
    """The peer sent something that is not HTTP/1.1."""


async def read_head(reader):
    """Start line and fields (names in lower case) of the next message; None at a clean end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if not failure.partial:
            return None
        raise BadMessage("the head has no end") from failure
    lines = data[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise BadMessage(f"not a field: {line!r}")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def message_bytes(status, body=b"", fields=(), reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"\r\n" + body


class HttpServer:
    """Serves one request at a time on each connection. `answer(writer, method, target, fields, body)`
    writes the answer; False closes the connection."""

    def __init__(self, answer, ip="127.0.0.1"):
        self.answer = answer
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=200)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return f"{self.ip}:{self.port}"

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.server.close()
        self.reset_all()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                if not await self.answer(writer, method, target, head[1], body):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, BadMessage, OSError):
            pass  # The connection ended.
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's log: keyed topics with one partition each."""

    def __init__(self, ip="127.0.0.1"):
        self.server = HttpServer(self.answer, ip)
        self.topics = {}
        self.era = 1
        self.is_down = False

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        self.records(topic).append((key, None if value is None else json.dumps(value).encode()))

    def copy(self):
        return {topic: list(records) for topic, records in self.topics.items()}

    def go_away(self):
        """Answers nothing until come_back_from(); open connections are reset."""
        self.is_down = True
        self.server.reset_all()

    def come_back_from(self, copy):
        """The store is back from an older copy of itself, in the next era."""
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.era += 1
        self.is_down = False

    def newest(self, topic):
        items = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            items[key] = (value, offset)
        return [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in items.items() if value is not None]

    async def read(self, topic, start, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while len(self.records(topic)) <= start and time.monotonic() < end:
            await asyncio.sleep(0.01)
        body = struct.pack(">QQ", len(self.records(topic)), 0)
        for key, value in self.records(topic)[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return body

    def append(self, topic, at, content):
        records = self.records(topic)
        if at is not None and int(at) != len(records):
            return 412, {"end": len(records)}
        size = content[4]
        records.append((content[5:5 + size].decode(), content[5 + size:] or None))
        return 200, {"offset": len(records) - 1, "end": len(records)}

    async def answer(self, writer, method, target, fields, body):
        if self.is_down:
            writer.transport.abort()
            return False
        path, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = values.get("topic", "")
        await asyncio.sleep(0.004)
        status, text = 404, b""
        if path == "/-/log-newest":
            status = 200
            text = json.dumps({"items": self.newest(topic), "more": False,
                               "end": len(self.records(topic))}).encode()
        elif path == "/-/log-read":
            start = int(values["from"])
            if start > len(self.records(topic)):
                status, text = 410, b'{"first":0}'
            else:
                era = self.era
                text = await self.read(topic, start, int(values.get("wait_ms", 0)))
                if self.is_down or era != self.era:
                    writer.transport.abort()
                    return False
                status = 200
        elif path == "/-/log-append":
            status, answer = self.append(topic, values.get("at"), body)
            text = json.dumps(answer).encode()
        writer.write(message_bytes(status, text, [("Store-Era", self.era)]))
        await writer.drain()
        return True


class DutyPlatform:
    """Takes the calls that one host at a time may make, and checks their fencing tokens."""

    def __init__(self, ip="127.0.0.1"):
        self.server = HttpServer(self.answer, ip)
        self.tokens = {}
        self.calls = []  # (time, path, holder, token, body, status)

    async def answer(self, writer, method, target, fields, body):
        holder = fields.get("quincefall-duty-holder", "")
        token = int(fields.get("quincefall-fence-token", 0))
        content = json.loads(body)
        subject = (target, content.get("service"), content.get("zone"))
        status = 200 if token >= self.tokens.get(subject, 0) else 409
        if status == 200:
            self.tokens[subject] = token
        self.calls.append((time.monotonic(), target, holder, token, content, status))
        writer.write(message_bytes(status))
        await writer.drain()
        return False


class Engine:
    """A server of one service. Runs each request that names it and answers with its stamp.

    It answers requests that it ran with the statuses of `cycle` in turn; `given` has, by request id,
    the statuses that it gave.
    """

    def __init__(self, identity, service, ip="127.0.0.1", zone="espoo"):
        self.server = HttpServer(self.answer, ip)
        self.identity = identity
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_s = 0.03
        self.cycle = (200,)
        self.given = {}
        self.runs = {}  # By request id: (time, method, target, fields, body) of each run.

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.server.address(), "zone": self.zone,
                "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    def body_of(self, request):
        return f"{self.identity} ran {request}".encode()

    async def answer(self, writer, method, target, fields, body):
        request = fields.get("quincefall-request-id", "")
        echo = [("Quincefall-Request-Id", request), ("Keep-Alive", "timeout=5"),
                ("Quincefall-Server-Load", f"1,0,64")]
        if fields.get("quincefall-expect-instance") not in (None, self.identity):
            writer.write(message_bytes(421, b"", echo + [("Quincefall-Not-Run", "1")]))
            await writer.drain()
            return True
        status = self.cycle[sum(map(len, self.runs.values())) % len(self.cycle)]
        self.runs.setdefault(request, []).append((time.monotonic(), method, target, fields, body))
        self.given.setdefault(request, []).append(status)
        await asyncio.sleep(self.work_s)
        stamp = ("Quincefall-Response-Stamp", f"{self.identity}.{request}")
        writer.write(message_bytes(status, self.body_of(request), echo + [stamp]))
        await writer.drain()
        return True

    def runs_of(self, request):
        return self.runs.get(request, [])
