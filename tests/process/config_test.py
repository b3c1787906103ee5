"""Configuration changes reach all hosts, also during log outages and after log truncation."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import OPERATOR_KEY, Fleet
from support.golden import check_golden
from support.processes import wait_for

IN_FORCE_LIMIT_S = 5.0
HOSTS = 9


def put_class(fleet, host, name, tier, operation):
    return client.send(fleet.hosts[host].operator, "PUT", f"/v1/resources/service_class/{name}",
                       {"tier": tier}, {"Authorization": f"Bearer {OPERATOR_KEY}",
                                        "X-Operation-Id": operation})


def applied(fleet, host, operation):
    answer = client.send(fleet.hosts[host].operator, "GET", "/timeline",
                         headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
    events = [json.loads(line) for line in answer.body.splitlines()]
    return any(event["event"] == "config.applied"
               and event["fields"]["operation"] == operation for event in events)


def seconds_until_everywhere(fleet, operation):
    begin = time.monotonic()
    for host in fleet.hosts:
        wait_for(lambda host=host: applied(fleet, host, operation), 30,
                 f"{operation} in force on {host}")
    return time.monotonic() - begin


def is_ready(fleet, host):
    return client.send(fleet.hosts[host].operator, "GET", "/readyz").status == 200


def main():
    lines = []
    # The stand-in log retains 60 records per stream.
    with Fleet(log_flags={"retention": 60}) as fleet:
        fleet.start_engine("engine-1")
        for number in range(1, HOSTS + 1):
            fleet.start_host(f"h{number}")
        fleet.publish_hosts()
        fleet.publish_defaults()
        fleet.wait_ready()

        answer = put_class(fleet, "h1", "first", 2, "op-first")
        taken = seconds_until_everywhere(fleet, "op-first")
        lines.append(f"accepted: {answer.status}; on {HOSTS} hosts in time:"
                     f" {taken < IN_FORCE_LIMIT_S}")

        # The log fails right after one host has accepted a change; the hosts pass it on to peers.
        answer = put_class(fleet, "h2", "second", 2, "op-second")
        fleet.log.set_faults(down=True)
        taken = seconds_until_everywhere(fleet, "op-second")
        lines.append(f"log down after acceptance: {answer.status}; on {HOSTS} hosts in time:"
                     f" {taken < IN_FORCE_LIMIT_S}")
        refused = put_class(fleet, "h3", "third", 2, "op-third")
        lines.append(f"change while the log is down: {refused.status}"
                     f" code={json.loads(refused.body)['code']}")
        lines.append(f"chat while the log is down: {fleet.chat('h4', 'naps', 2).status}")

        # A host that starts during the outage gets the configuration from its peers.
        fleet.start_host("late")
        fleet.publish_hosts()
        wait_for(lambda: is_ready(fleet, "late"), 30, "late host ready")
        lines.append("host started while the log is down: ready, chat "
                     f"{fleet.chat('late', 'naps', 2).status}")
        fleet.log.set_faults()

        # More changes than the log retains: a fresh fleet must start from a checkpoint.
        for number in range(80):
            answer = put_class(fleet, "h1", "first", 1 + number % 4, f"op-many-{number}")
            assert answer.status == 200, answer
        taken = seconds_until_everywhere(fleet, "op-many-79")
        lines.append(f"80 changes in force in time: {taken < IN_FORCE_LIMIT_S}")
        for name in list(fleet.hosts):
            fleet.stop_host(name)
        fleet.start_host("fresh")
        fleet.publish_hosts()
        wait_for(lambda: is_ready(fleet, "fresh"), 30, "fresh host ready")
        answer = put_class(fleet, "fresh", "second", 3, "op-fresh")
        lines.append("fresh fleet over a truncated log: ready, chat "
                     f"{fleet.chat('fresh', 'naps', 2).status}, change {answer.status}")
    check_golden("config.txt", lines)


main()
