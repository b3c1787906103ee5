"""Engines whose events a test chooses, and callers that take their streams up until they are whole."""

import asyncio
import re

from support.paced_engine import PacedEngine
from support.platform_standin import Engine
from support.route_fleet import RouteFleet, ask, desired_state

BUDGET = ", further_attempt_slack: 5000"


class ScriptedEngine(Engine):
    """Sends the events that `script` returns for the last event's id and the time that is left, as
    (seconds before it, bytes), then ends with its connection, or with a last chunk if `is_framed`.
    """

    script = None
    is_framed = False

    async def stream(self, writer, fields, request, headers, fault, crashes=False):
        if self.script is None:
            return await super().stream(writer, fields, request, headers, fault, crashes)
        after = int(fields.get("last-event-id", 0)) if "last-event-id" in fields else None
        left = int(fields["quincefall-deadline-ms"]) / 1000
        framing = "Transfer-Encoding: chunked\r\n" if self.is_framed else ""
        head = f"HTTP/1.1 200 OK\r\n{framing}Content-Type: text/event-stream\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write(head.encode() + b"\r\n")
        for seconds, event in self.script(after, left):
            await writer.drain()
            await asyncio.sleep(seconds)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.is_framed else event)
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return self.is_framed


def event(number, text=None):
    return f"id: {number}\ndata: {text or number}\n\n".encode()


def plain_script(ids, pause=0.02, last=None):
    """Honours Last-Event-Id; ends behind `last` if given."""
    def script(after, left):
        return [(pause, event(one)) for one in ids
                if (after is None or one > after) and (last is None or one <= last)]
    return script


class ScriptedFleet(RouteFleet):
    engine_type = ScriptedEngine

    def __init__(self, changes=None, **more):
        super().__init__(more_bounds=BUDGET, **more)
        state = desired_state(2)
        for route in state["routes"]:
            route.update((changes or {}).get(route["name"], {}))
        self.store.put("keyed.op", "config", state)

    def play(self, scripts):
        for name, script in scripts.items():
            self.engines[name].script = script

    def log_of(self, request):
        return [line for host in self.hosts for line in host.lines() if request in line]


class PacedFleet(ScriptedFleet):
    engine_type = PacedEngine


def ids_in(body):
    return [int(one) for one in re.findall(r"^id: (\d+)$", body, re.M)]


def take(fleet, name, rounds=6, deadlines=None, path="/stream/", hosts=None, more=None):
    """A caller that takes its stream up until it is whole: (whole, body, answers)."""
    body, answers = "", []
    for number in range(rounds):
        last = (ids_in(body) or [0])[-1]
        fields = dict(more or {})
        if last:
            fields.update({"Last-Event-Id": str(last), "Resumes": f"{name}-0"})
        host = fleet.hosts[(hosts or [0])[number % len(hosts or [0])]]
        left = 4000 if deadlines is None else deadlines[number]
        answer = ask(host.caller, f"{name}-{number}", f"{path}{name}", fields=fields,
                     deadline_ms=left)
        answers.append(answer)
        if answer.status == 200:
            body += answer.body
            if answer.is_whole:
                return True, body, answers
    return False, body, answers


def show(fleet, name):
    for line in fleet.log_of(name):
        if "request ended" in line or "refus" in line:
            print("  ", line[:700], flush=True)
