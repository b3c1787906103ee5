"""Sound engines whose answers have no length: each request runs, and no caller gets its answer."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from bench import (TROUBLE, desired_state, end_hosts, read_answer, read_head, request_head, route,
                   run, start_hosts, start_store)
from support.ports import free_ports

CALLERS = 4  # Of each kind.
REQUESTS = 8  # Of each caller; the first one is always answered with a length.
KINDS = {  # Path, and the type of an engine's answer.
    "call": ("/book/visit", "text/plain"),
    "stream": ("/plans/week", "text/event-stream"),
}


def answer_of(kind, after):
    """The whole answer; of a stream, what follows the event `after`."""
    if kind == "call":
        return b"booked"
    return "".join(f"id: {number}\ndata: {number}\n\n" for number in range(after + 1, 7)).encode()


class Engine:
    """An engine of one service. It ends its answers in good order, after the whole body."""

    def __init__(self, name, service, record):
        self.name, self.service, self.record = name, service, record
        self.ran = {}  # Whole answers, by request id.
        self.has_length = True

    async def start(self):
        self.port = free_ports(1)[0]
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "espoo",
                "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
                "sequence": 1, "born": 1700000000000}

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        first, fields = await read_head(reader)
        await reader.readexactly(int(fields.get("content-length", 0)))
        if first.split()[1] == "/-/report":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await writer.drain()
            return True
        request = fields["quincefall-request-id"]
        if fields.get("quincefall-expect-instance") != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nQuincefall-Request-Id: {request}\r\n"
                         "Quincefall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        await asyncio.sleep(0.015)
        kind = request.split("-")[0]
        body = answer_of(kind, int(fields.get("last-event-id", 0)))
        self.ran[request] = body
        self.record("engine", self.name, "ran", request)
        head = (f"HTTP/1.1 200 OK\r\nQuincefall-Request-Id: {request}\r\n"
                f"Quincefall-Response-Stamp: {self.name}.{request}\r\nContent-Type: {KINDS[kind][1]}\r\n")
        head += f"Content-Length: {len(body)}\r\n" if self.has_length else "Connection: close\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        self.record("engine", self.name, "sent the whole answer to", request,
                    "with a length" if self.has_length else "and closes the channel")
        return self.has_length


async def ask(port, kind, number, record, answers, warm):
    """Sends requests on a kept channel, and opens another one when the host has closed it."""
    reader = writer = None
    for index in range(REQUESTS):
        request = f"{kind}-{number}-{index}"
        if writer is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_head("POST", KINDS[kind][0], request, 4000, b"yard 7"))
        record("caller sent", request)
        status, fields, body, is_whole = await asyncio.wait_for(read_answer(reader), 6)
        record("caller got", request, status, "complete" if is_whole else "incomplete", len(body),
               "bytes")
        answers[request] = (status, body, is_whole)
        if not is_whole or fields.get("connection", "").lower() == "close":
            writer.close()
            writer = None
        if index == 0:
            await warm.wait()
        await asyncio.sleep(0.05)
    if writer:
        writer.close()


async def play(record, folder):
    engines = [Engine(f"{service}{number}", service, record)
               for service in ("desk", "model") for number in range(1, 4)]
    for engine in engines:
        await engine.start()
    routes = [route("book", "/book/", "non_idempotent", "desk", max_attempts=1),
              route("plans", "/plans/", "streaming", "model", stream_resume=True, gap_aim_ms=1200)]
    store = await start_store(desired_state(1, routes, ["desk", "model"]),
                              {engine.name: engine.entry() for engine in engines})
    hosts = await start_hosts(folder, 1, store, record)
    try:
        answers, warm = {}, asyncio.Event()
        callers = [asyncio.ensure_future(ask(hosts[0].caller, kind, number, record, answers, warm))
                   for kind in KINDS for number in range(CALLERS)]
        await asyncio.sleep(5)  # The host is in touch from here on.
        for engine in engines:
            engine.has_length = not TROUBLE
        record("answers from now on", "without a length" if TROUBLE else "with a length")
        warm.set()
        await asyncio.gather(*callers)
    finally:
        end_hosts(hosts)
    ran = {request: body for engine in engines for request, body in engine.ran.items()}
    lost = [request for request, (status, body, is_whole) in sorted(answers.items())
            if request in ran and not is_whole]
    for kind in KINDS:
        asked = [request for request in answers if request.startswith(kind)]
        record(len(asked), "requests of kind", kind + ",", len([r for r in asked if r in ran]), "run,",
               len([r for r in asked if r in lost]), "of them without a whole answer")
    if len(lost) > 3:
        return [f"LOST: {len(lost)} of {len(answers)} requests were passed on to sound engines, and "
                f"their channels closed without an answer: {' '.join(lost[:6])} ..."]
    return []


if __name__ == "__main__":
    sys.exit(run(HERE / "record.txt", play))
