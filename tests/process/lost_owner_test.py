"""The queue's owner is killed or paused while requests wait: no request of another host is lost."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import Fleet
from support.golden import check_golden
from support.processes import wait_for
from support.queues import owner_of

CALLERS = 24
TOKENS = 10
ANSWER_LIMIT_S = 40


def start_waiting(fleet, label, hosts):
    """Starts more requests than the engine has slots; returns the threads and their results."""
    results = {}

    def work(index):
        prompt = f"{label} {index}"
        answer = fleet.stream(hosts[index % len(hosts)], prompt, TOKENS, f"{label}-{index}",
                              timeout_s=ANSWER_LIMIT_S)
        is_refused = answer.status == 503 and "Retry-After" in answer.headers
        results[index] = (client.is_whole(answer, prompt, TOKENS), is_refused, answer)

    threads = [threading.Thread(target=work, args=(index,)) for index in range(CALLERS)]
    for thread in threads:
        thread.start()
    return threads, results


def summary(results):
    complete = sum(result[0] for result in results.values())
    refused = sum(result[1] for result in results.values())
    for result in results.values():
        if not (result[0] or result[1]):
            print("lost:", result[2])
    return (f"{complete + refused} of {CALLERS} complete or finally refused, "
            f"some complete={complete > 0}")


def check_lost_owner(fleet, lines, label, inject_fault):
    owner = owner_of(fleet)
    others = [host for host in fleet.hosts if host != owner]
    threads, results = start_waiting(fleet, label, others)
    wait_for(lambda: fleet.standins["engine-1"].get("/load")["running"] >= 2,
             30, "running requests")
    time.sleep(0.1)  # lets the rest reach the queue; the result does not depend on it
    inject_fault(fleet.hosts[owner].process)
    for thread in threads:
        thread.join()
    lines.append(f"{label}: {summary(results)}")
    return owner


def main():
    lines = []
    with Fleet() as fleet:
        fleet.start_engine("engine-1", token_delay_ms=20)
        fleet.start_hosts(4)
        fleet.publish_defaults(slots=2)
        fleet.wait_ready()
        paused = check_lost_owner(fleet, lines, "owner-paused", lambda process: process.pause())
        fleet.hosts[paused].process.resume()
        wait_for(lambda: fleet.chat(paused, "awake?", 1).status == 200, 30, "woken host serves")
        killed = check_lost_owner(fleet, lines, "owner-killed", lambda process: process.kill())
        del fleet.hosts[killed]
        left = next(iter(fleet.hosts))
        lines.append(f"served afterwards: {fleet.chat(left, 'naps', 2).status}")
    check_golden("lost_owner.txt", lines)


main()
