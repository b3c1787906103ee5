"""UNASKED: a server runs a request that was smuggled inside another one."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.client import head_of, read_answer
from support.fleet import CannotRun, Fleet

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# None of them ends in "chunked", so the length of the body can't be told (RFC 9112, 6.3).
CODINGS = ("gzip", "identity", "chunked, identity", "xchunked")


def hidden_request(request):
    """The text of a whole request. Nobody sends it as one: it is the content of a body."""
    return head_of(request, "/confirm/hidden", length=4) + b"book"


async def send(host, outer, coding, body):
    """Sends one request on a channel of its own; returns the answers that came until it closed or
    was silent for a second."""
    framing = [("Transfer-Encoding", coding)] if TROUBLE else []
    reader, writer = await asyncio.open_connection(host.ip, host.front)
    answers = []
    try:
        writer.write(head_of(outer, "/confirm/outer", fields=framing,
                             length=None if TROUBLE else len(body)) + body)
        while True:
            answer = await asyncio.wait_for(read_answer(reader), 1)
            if not answer.line:
                break
            answers.append(answer)
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    return answers


async def run(fleet, record):
    is_broken = False
    for number, coding in enumerate(CODINGS, 1):
        outer, inner = f"outer-{number}", f"inner-{number}"
        body = hidden_request(inner)
        answers = await send(fleet.hosts[0], outer, coding, body)
        await asyncio.sleep(0.3)
        outer_bodies = [run[4] for _, run in fleet.runs_of(outer)]
        inner_runs = len(fleet.runs_of(inner))
        framing = f"Transfer-Encoding: {coding}" if TROUBLE else f"Content-Length: {len(body)}"
        lines = [f"sent {outer} with {framing} and a body of {len(body)} bytes",
                 f"  answered: {[(answer.line, answer.body.decode()) for answer in answers]}",
                 f"  {outer} ran {len(outer_bodies)} times, with bodies of "
                 f"{[len(one) for one in outer_bodies]} bytes",
                 f"  {inner}, which no client sent, ran {inner_runs} times"]
        if inner_runs or any(one != body for one in outer_bodies):
            is_broken = True
            lines.append("  UNASKED is broken")
        print("\n".join(lines), flush=True)
        record.write("\n".join(lines) + "\n")
        if not TROUBLE and len(outer_bodies) != 1:
            raise CannotRun(f"{outer} was not served")
    return 1 if is_broken else 0


async def main():
    with open(FOLDER / "record.txt", "w", encoding="utf-8") as record:
        try:
            async with Fleet(hosts=1, prefix="127.0.6") as fleet:
                return await asyncio.wait_for(run(fleet, record), 60)
        except (CannotRun, OSError, asyncio.TimeoutError) as failure:
            print(f"the case could not run: {failure}")
            record.write(f"the case could not run: {failure}\n")
            return 2


# The exit codes of run.sh, but for 10 in place of 1.
sys.exit({1: 10}.get(code := asyncio.run(main()), code))
