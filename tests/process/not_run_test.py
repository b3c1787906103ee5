"""Failed requests are reported as "not-run" only if no engine has started them."""

import http.client
import json
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import ORGANISATION, Fleet
from support.golden import check_golden
from support.load import run_all
from support.processes import wait_for

CALLERS = 16
TOKENS = 30
ENGINES = ("e1", "e2")


def outcome_of(answer, prompt):
    """The reported run state, or "complete" for a complete stream, or "broken" for neither."""
    if client.is_whole(answer, prompt, TOKENS):
        return "complete"
    for text in (answer.body, answer.error):
        try:
            return json.loads(text)["run"]
        except (ValueError, KeyError, TypeError):
            continue
    return "broken"


def has_started(fleet, request_id):
    """True if one of the engines started the request."""
    name = f"{ORGANISATION}.{request_id}"
    return any(name in fleet.standins[engine].runs() for engine in ENGINES)


def stream_all(fleet, label):
    """Sends CALLERS concurrent requests; returns their outcomes by request id."""
    hosts = list(fleet.hosts)

    def work(index):
        prompt = f"{label} {index}"
        answer = fleet.stream(hosts[index % len(hosts)], prompt, TOKENS, f"{label}-{index}",
                              timeout_s=60)
        return f"{label}-{index}", outcome_of(answer, prompt)

    return dict(run_all(CALLERS, work))


def check(fleet, lines, label, expected, **faults):
    """Checks the outcomes under the given engine faults; `expected` holds all allowed outcomes."""
    for engine in ENGINES:
        fleet.standins[engine].set_faults(**faults)
    outcomes = stream_all(fleet, label)
    for engine in ENGINES:
        fleet.standins[engine].set_faults()
    wrong = [request for request, outcome in outcomes.items()
             if outcome == "not-run" and has_started(fleet, request)]
    lines.append(f"{label}: reported not-run but started: {len(wrong)}; "
                 f"outcomes other than {'/'.join(sorted(expected))}: "
                 f"{sorted(set(outcomes.values()) - expected)}")
    return outcomes


def connect_slowly(address):
    """Opens a connection with a small receive buffer, to simulate a slow caller."""
    connection = http.client.HTTPConnection(*client.split_address(address), timeout=60)
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.sock.connect(client.split_address(address))
    return connection


def check_slow_caller(fleet, lines):
    """A stream fails while its caller has read little of it; the run state still arrives."""
    wait_for(lambda: fleet.chat("h1", "trusted again?", 1).status == 200, what="a trusted engine")
    for engine in ENGINES:
        fleet.standins[engine].set_faults(cut_after=500, token_delay_ms=0)
    host = fleet.hosts["h1"]

    def is_given_up():
        return any(event["event"] == "request.shed" for name in fleet.hosts
                   for event in fleet.timeline(name, f"{ORGANISATION}.slow"))

    def wait_until_broken(number):
        if number == 1:
            wait_for(is_given_up, what="the host to stop retrying")

    answer = client.stream_chat(host.caller, "slow", 5000, headers=fleet.headers("slow"),
                                on_token=wait_until_broken,
                                connections={host.caller: connect_slowly(host.caller)})
    lines.append(f"slow caller: {outcome_of(answer, 'slow')}")


def main():
    lines = []
    with Fleet() as fleet:
        for name in ENGINES:
            fleet.start_engine(name, slots=2, queue=0, token_delay_ms=5, first_token_delay_ms=1)
        fleet.publish_defaults(slots=2, max_wait_ms=400)
        fleet.start_hosts(3)
        fleet.wait_ready()
        # Each request takes longer than the longest wait, so that some are refused even if the
        # callers start seconds apart.
        crowded = check(fleet, lines, "crowd", {"complete", "not-run"}, token_delay_ms=25)
        lines.append(f"crowd: some complete {'complete' in crowded.values()}, "
                     f"some refused {'not-run' in crowded.values()}")
        lost = check(fleet, lines, "lost-answers", {"unknown", "not-run"}, lose_answers=1000,
                     lose_path="/v1/")
        lines.append(f"lost-answers: some unknown {'unknown' in lost.values()}")
        check(fleet, lines, "down", {"not-run"}, down=True)
        check(fleet, lines, "cut", {"complete", "partial", "not-run"}, cut_after=3)
        check_slow_caller(fleet, lines)
    check_golden("not_run.txt", lines)


main()
