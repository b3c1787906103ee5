"""Callers of the other hosts get complete responses while a host is paused or after it crashed."""

import threading

from support import client
from support.fleet import Fleet
from support.golden import check_golden
from support.load import run_all
from support.processes import wait_for

CALLERS = 8
TOKENS = 20
ANSWER_LIMIT_S = 20


def stream_through(fleet, hosts, label):
    """Sends CALLERS concurrent requests to the hosts; returns the number of complete responses."""

    def work(index):
        prompt = f"{label} {index}"
        answer = fleet.stream(hosts[index % len(hosts)], prompt, TOKENS,
                              timeout_s=ANSWER_LIMIT_S)
        if not client.is_whole(answer, prompt, TOKENS):
            print(label, answer)
            return False
        return True

    return sum(run_all(CALLERS, work))


def others(fleet, name):
    return [host for host in fleet.hosts if host != name]


def check_paused_hosts(fleet, lines):
    """Pauses each host in turn, so that the owner of the pool's queue is paused once."""
    for name in list(fleet.hosts):
        process = fleet.hosts[name].process
        process.pause()
        complete = stream_through(fleet, others(fleet, name), f"paused {name}")
        process.resume()
        wait_for(lambda: fleet.chat(name, "awake?", 1).status == 200,
                 what=f"{name} to serve after it was resumed")
        lines.append(f"{name} paused: {complete} of {CALLERS} answers of the others complete")


def check_killed_host(fleet, lines):
    """The queue's owner crashes: its own caller's stream is cut, the others are complete.

    The platform's host list still contains the crashed host.
    """
    victim = fleet.wait_ready()
    victim_result = {}
    reached = threading.Event()

    def stream_through_victim():
        victim_result["answer"] = fleet.stream(victim, "own", 2000,
                                                on_token=lambda _: reached.set())

    caller = threading.Thread(target=stream_through_victim)
    caller.start()
    assert reached.wait(30), "the victim's stream did not begin"
    fleet.hosts[victim].process.kill()
    caller.join()
    del fleet.hosts[victim]
    answer = victim_result["answer"]
    lines.append(f"owner killed: its stream ends with the end mark: {answer.is_done}")
    complete = stream_through(fleet, list(fleet.hosts), "after the crash")
    lines.append(f"owner killed: {complete} of {CALLERS} answers of the others complete")
    wait_for(lambda: all(engine.get("/load")["running"] == 0
                         for engine, _, _ in fleet.listed_upstreams.values()),
             what="engines to be idle")
    lines.append("engines dropped the crashed host's work")


def main():
    lines = []
    with Fleet() as fleet:
        for name in ("e1", "e2"):
            fleet.start_engine(name, slots=4, token_delay_ms=3, first_token_delay_ms=1)
        fleet.publish_defaults(slots=4, max_wait_ms=10_000)
        fleet.start_hosts(3)
        fleet.wait_ready()
        check_paused_hosts(fleet, lines)
        check_killed_host(fleet, lines)
    check_golden("host_failure.txt", lines)


main()
