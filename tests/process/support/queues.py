"""Finds queue owners from the hosts' time lines, for tests and measurements."""

import json

from support import client
from support.fleet import OPERATOR_KEY

POOL = "roster-assistant"


def events_of(fleet, host, kind):
    """The events named `kind` in a host's time line."""
    answer = client.send(fleet.hosts[host].operator, "GET", "/timeline",
                         headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
    events = [json.loads(line) for line in answer.body.splitlines()]
    return [event for event in events if event["event"] == kind]


def owner_of(fleet, pool=POOL):
    """The host that granted the pool's most recent permit."""
    newest = {}
    for host in fleet.hosts:
        granted = [event["wall_ms"] for event in events_of(fleet, host, "request.granted")
                   if event["resource"] == pool]
        if granted:
            newest[host] = max(granted)
    return max(newest, key=newest.get)
