"""Engines in child processes, which a test can stop and continue (SIGSTOP and SIGCONT).

The parent and a child exchange one line of JSON for each command and reply.
"""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import threading

if __name__ == "__main__":
    sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from support.paced_engine import PacedEngine  # noqa: E402
from support.platform_standin import LoopThread  # noqa: E402


class EngineProcess:
    """A child process with one or more engines.

    `plans` has a dict for each engine: `identity`, `service`, and attributes to set on it. The
    attribute `entries` holds what the engines would register.
    """

    def __init__(self, plans, seed=0):
        self.plans = plans
        self.seed = seed
        self.starts = 0  # Under new ids.
        self.lock = threading.Lock()
        self.start()

    def start(self):
        self.child = subprocess.Popen([sys.executable, os.path.abspath(__file__)],
                                      stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                                      start_new_session=True)
        self.is_stopped = False
        self.send({"start": self.plans, "seed": self.seed})

    def send(self, command):
        self.child.stdin.write(json.dumps(command).encode() + b"\n")
        self.child.stdin.flush()

    def wait_until_ready(self):
        self.entries = json.loads(self.child.stdout.readline())

    def ask(self, command):
        """Sends a command and waits for the reply; the process has to be running."""
        with self.lock:
            self.send(command)
            return json.loads(self.child.stdout.readline())

    def state(self):
        """What each engine did; see state_of()."""
        return self.ask({"state": True})

    def set_born(self, milliseconds):
        """Sets the start that the engines name, without waiting for a stopped process."""
        self.send({"born": milliseconds})

    def flap(self):
        """Closes all connections as a crash does; the engines go on to listen at their ports."""
        self.ask({"flap": True})

    def crash(self, down_seconds, has_new_ids=False):
        """Ends the engines as a crash does; new ones listen at their ports after `down_seconds`.

        In contrast to kill(), what the engines did before is still part of the state.
        """
        self.starts += has_new_ids
        self.entries = self.ask({"crash": down_seconds,
                                 "suffix": f"-{self.starts}" if has_new_ids else ""})

    def shut_down(self, more_seconds, down_seconds):
        """Shuts the engines down; see PacedEngine.shut_down()."""
        self.ask({"shut_down": [more_seconds, down_seconds]})

    def stop(self):
        self.child.send_signal(signal.SIGSTOP)
        self.is_stopped = True

    def resume(self):
        self.child.send_signal(signal.SIGCONT)
        self.is_stopped = False

    def kill(self):
        """Ends the engines as a crash does; start() begins new ones at other ports."""
        self.child.kill()
        self.child.wait(5)
        self.child.stdin.close()
        self.child.stdout.close()

    def close(self):
        self.resume()
        self.child.stdin.close()
        try:
            self.child.wait(5)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait(5)
        self.child.stdout.close()


def start_engine(thread, plan, seed):
    plan = dict(plan)
    engine = PacedEngine(thread.loop, plan.pop("identity"), plan.pop("service"), seed)
    for name, value in plan.items():
        setattr(engine, name, value)
    thread.call(engine.server.listen())
    engine.listed_port = engine.server.port
    return engine


async def crash(engines, source, down_seconds, suffix):
    """Closes the connections of all engines in random sequence, as the kernel does after a kill.

    With a `suffix`, it ends the ids under which they start again.
    """
    connections = [writer for engine in engines.values()
                   for writer in engine.server.stop_answering()]
    for engine in engines.values():
        engine.broken.extend(engine.streaming)
    source.shuffle(connections)
    for writer in connections:
        writer.transport.abort()
    await asyncio.sleep(down_seconds)
    for name, engine in engines.items():
        engine.identity = name + suffix if suffix else engine.identity
        await engine.server.listen(engine.server.port)


async def shut_down(engines, *seconds):
    await asyncio.gather(*(engine.shut_down(*seconds) for engine in engines))


def state_of(engine):
    """The `runs` and `targets` by request, the streams `broken` off or `ended_early`, and the
    `copies` sent.
    """
    return {"runs": dict(engine.runs), "broken": engine.broken, "copies": engine.copies_sent,
            "ended_early": engine.ended_early,
            "targets": {name: head["target"] for name, head in engine.request_heads.items()}}


def main():
    thread = LoopThread()
    engines = {}
    source = None
    for line in sys.stdin:
        command = json.loads(line)
        reply = {}
        if "start" in command:
            source = random.Random(command["seed"])
            for plan in command["start"]:
                engines[plan["identity"]] = start_engine(thread, plan, command["seed"])
            reply = {name: engine.entry() for name, engine in engines.items()}
        elif "born" in command:
            for engine in engines.values():
                engine.born = command["born"]
            continue
        elif "flap" in command:
            for engine in engines.values():
                engine.down_seconds = 0
                thread.call(engine.crash())
        elif "crash" in command:
            thread.call(crash(engines, source, command["crash"], command["suffix"]))
            reply = {engine.identity: engine.entry() for engine in engines.values()}
        elif "shut_down" in command:
            thread.call(shut_down(list(engines.values()), *command["shut_down"]))
        elif "state" in command:
            reply = {name: state_of(engine) for name, engine in engines.items()}
        print(json.dumps(reply), flush=True)


if __name__ == "__main__":
    main()
