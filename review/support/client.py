"""A client of the hosts: one request at a time, on a channel of its own or on a kept one."""

import asyncio

from support.fleet import AUTHORITY, KEY
from support.standins import BadMessage, read_head


class Answer:
    """What a client got; `line` is the status line as it came, empty without an answer."""

    def __init__(self, line="", fields=None, body=b"", is_whole=False):
        self.line = line
        self.fields = fields or {}
        self.body = body
        self.is_whole = is_whole

    @property
    def status(self):
        words = self.line.split(" ")
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


def head_of(request, path, method="POST", deadline_ms=3000, fields=(), length=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {AUTHORITY}",
             f"Quincefall-Request-Id: {request}", f"Quincefall-Deadline-Ms: {deadline_ms}",
             f"Quincefall-Credential: {KEY}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader, has_body=True):
    try:
        head = await read_head(reader)
    except (BadMessage, OSError):
        return Answer()
    if head is None:
        return Answer()
    line, fields = head
    body = b""
    try:
        if not has_body:
            pass
        elif fields.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read()
    except asyncio.IncompleteReadError as failure:
        return Answer(line, fields, body + failure.partial, False)
    except OSError:
        return Answer(line, fields, body, False)
    return Answer(line, fields, body, True)


async def ask(host, request, path, method="POST", body=b"x", deadline_ms=3000, fields=()):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, host.front), 1)
    except (OSError, asyncio.TimeoutError):
        return Answer()
    try:
        length = len(body) if body or method != "GET" else None
        writer.write(head_of(request, path, method, deadline_ms, fields, length) + body)
        return await asyncio.wait_for(read_answer(reader), deadline_ms / 1000)
    except (OSError, asyncio.TimeoutError):
        return Answer()
    finally:
        writer.close()
