"""Every caller gets its own whole answer while engines cut, stall, cross, double or go silent."""

from support import client
from support.fleet import Fleet
from support.golden import check_golden
from support.load import run_all
from support.processes import wait_for

CALLERS = 8
TOKENS = 30
SLOTS = 4  # on each of two engines, so that both get work
TOKEN_DELAY_MS = 5
ANSWER_LIMIT_S = 60


def ask_all(fleet, label, on_token=None):
    """Sends CALLERS requests at once over all hosts and counts the whole answers."""
    hosts = list(fleet.hosts)

    def work(index):
        prompt = f"{label} {index}"
        answer = fleet.stream(hosts[index % len(hosts)], prompt, TOKENS, f"{label}-{index}",
                              on_token=on_token, timeout_s=ANSWER_LIMIT_S)
        return client.is_whole(answer, prompt, TOKENS), answer

    results = run_all(CALLERS, work)
    for whole, answer in results:
        if not whole:
            print(label, "not whole:", answer)
    return sum(whole for whole, _ in results)


def used(engine, label):
    """True when the engine ran some of the requests named by the label."""
    return any(label in request for request in engine.runs())


def wait_in_use(fleet, engine):
    """Waits until the hosts trust the engine again after an earlier fault."""
    state = {"round": 0}

    def is_used():
        state["round"] += 1
        label = f"probe{state['round']}."
        ask_all(fleet, label)
        return used(engine, label)

    wait_for(is_used, ANSWER_LIMIT_S, "work for the engine that was faulty")


def check_fault(fleet, lines, name, **faults):
    engine = fleet.standins["e1"]
    wait_in_use(fleet, engine)
    engine.set_faults(**faults)
    whole = ask_all(fleet, name)
    assert used(engine, name), f"{name}: the faulty engine was not asked"
    engine.set_faults()
    lines.append(f"{name}: {whole} of {CALLERS} answers whole")


def check_silent_connections(fleet, lines):
    """Open connections go silent in mid-stream; new ones work."""
    engine = fleet.standins["e1"]
    wait_in_use(fleet, engine)
    state = {"set": False}

    def silence(number):
        if number == 5 and not state["set"]:
            state["set"] = True
            engine.set_faults(silent_open=True)

    whole = ask_all(fleet, "silent", on_token=silence)
    assert used(engine, "silent")
    engine.set_faults()
    lines.append(f"silent_open in mid-stream: {whole} of {CALLERS} answers whole")


def check_killed_engine(fleet, lines):
    """An engine dies in mid-stream."""
    engine = fleet.standins["e1"]
    wait_in_use(fleet, engine)
    state = {"killed": False}

    def kill(number):
        if number == 5 and not state["killed"] and used(engine, "killed"):
            state["killed"] = True
            engine.process.kill()

    whole = ask_all(fleet, "killed", on_token=kill)
    assert state["killed"], "the engine was not killed"
    lines.append(f"engine killed in mid-stream: {whole} of {CALLERS} answers whole")


def main():
    lines = []
    with Fleet() as fleet:
        for name in ("e1", "e2"):
            fleet.start_engine(name, slots=SLOTS, token_delay_ms=TOKEN_DELAY_MS,
                               first_token_delay_ms=1)
        fleet.publish_defaults(slots=SLOTS, max_wait_ms=60_000)
        fleet.start_hosts(3)
        fleet.wait_ready()
        check_fault(fleet, lines, "cut_after", cut_after=5)
        check_fault(fleet, lines, "cross_frames", cross_frames=3)
        check_fault(fleet, lines, "duplicate_frames", duplicate_frames=3)
        check_fault(fleet, lines, "stall_after", stall_after=5)
        check_silent_connections(fleet, lines)
        check_killed_engine(fleet, lines)
    check_golden("engine_failure.txt", lines)


main()
