"""Every caller gets its own complete response although an engine cuts, stalls, mixes up or repeats
streams, stops responding, or is killed."""

import threading

from support import client
from support.fleet import Fleet
from support.golden import check_golden
from support.load import run_all

CALLERS = 8
TOKENS = 30
SLOTS = 4  # per engine; fewer than CALLERS, so that both engines get requests
TOKEN_DELAY_MS = 5
ANSWER_LIMIT_S = 60


def stream_all(fleet, label, on_token=None):
    """Sends CALLERS concurrent requests to all hosts; returns the number of complete responses."""
    hosts = list(fleet.hosts)

    def work(index):
        prompt = f"{label} {index}"
        answer = fleet.stream(hosts[index % len(hosts)], prompt, TOKENS, f"{label}-{index}",
                              on_token=on_token, timeout_s=ANSWER_LIMIT_S)
        return client.is_whole(answer, prompt, TOKENS), answer

    results = run_all(CALLERS, work)
    for complete, answer in results:
        if not complete:
            print(label, "incomplete:", answer)
    return sum(complete for complete, _ in results)


def has_run(engine, label):
    """True if the engine ran at least one of the requests with this label."""
    return any(label in request for request in engine.runs())


def check_fault(fleet, lines, name, **faults):
    engine = fleet.standins["e1"]
    engine.set_faults(**faults)
    complete = stream_all(fleet, name)
    assert has_run(engine, name), f"{name}: the faulty engine got no request"
    engine.set_faults()
    lines.append(f"{name}: {complete} of {CALLERS} answers complete")


def check_silent_connections(fleet, lines):
    """Open connections stop sending in mid-stream; new connections work."""
    engine = fleet.standins["e1"]
    state = {"set": False}

    def set_silent(number):
        if number == 5 and not state["set"]:
            state["set"] = True
            engine.set_faults(silent_open=True)

    complete = stream_all(fleet, "silent", on_token=set_silent)
    assert has_run(engine, "silent")
    engine.set_faults()
    lines.append(f"silent_open in mid-stream: {complete} of {CALLERS} answers complete")


def check_killed_engine(fleet, lines):
    """An engine is killed in mid-stream."""
    engine = fleet.standins["e1"]
    state = {"killed": False}
    lock = threading.Lock()

    def kill(number):
        with lock:  # callers run concurrently, and a killed engine can't report its runs
            if number == 5 and not state["killed"] and has_run(engine, "killed"):
                state["killed"] = True
                engine.process.kill()

    complete = stream_all(fleet, "killed", on_token=kill)
    assert state["killed"], "the engine was not killed"
    lines.append(f"engine killed in mid-stream: {complete} of {CALLERS} answers complete")


def with_new_fleet(check):
    """Runs one check on a new fleet, in which no host has excluded the faulty engine yet."""
    with Fleet() as fleet:
        for name in ("e1", "e2"):
            fleet.start_engine(name, slots=SLOTS, token_delay_ms=TOKEN_DELAY_MS,
                               first_token_delay_ms=1)
        fleet.publish_defaults(slots=SLOTS, max_wait_ms=60_000)
        fleet.start_hosts(3)
        fleet.wait_ready()
        check(fleet)


def main():
    lines = []
    faults = {"cut_after": 5, "cross_frames": 3, "duplicate_frames": 3, "stall_after": 5}
    for name, value in faults.items():
        with_new_fleet(lambda fleet, n=name, v=value: check_fault(fleet, lines, n, **{n: v}))
    with_new_fleet(lambda fleet: check_silent_connections(fleet, lines))
    with_new_fleet(lambda fleet: check_killed_engine(fleet, lines))
    check_golden("engine_failure.txt", lines)


main()
