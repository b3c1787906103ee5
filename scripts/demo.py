"""The main job on stand-ins: publish a configuration, ask, book, read the time line, stop."""

import json
import sys

from support import client
from support.fleet import OPERATOR_KEY, Fleet


def read_timeline(fleet, request):
    """The events of one request from all hosts, in the order of their stamps."""
    events = []
    for host in fleet.hosts.values():
        answer = client.send(host.operator, "GET", f"/timeline?request={request}",
                             headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
        events += [json.loads(line) for line in answer.body.splitlines()]
    return sorted(events, key=lambda event: (event["wall_ms"], event["logical"], event["host"]))


def print_timeline(events):
    for event in events:
        fields = " ".join(f"{name}={value}" for name, value in event.get("fields", {}).items())
        print(f"  {event['wall_ms']} {event['host']:3} {event['event']:18} "
              f"{event.get('resource', '')} {fields}")


def main():
    with Fleet() as fleet:
        for name in ("engine-1", "engine-2"):
            fleet.start_engine(name)
        fleet.start_service("desk-1")
        fleet.start_hosts(3)
        fleet.publish_defaults()
        fleet.wait_ready()

        answer = fleet.stream("h1", "Rebuild the roster of week 50", 12, request_id="demo-1")
        print("streamed answer through h1:", answer.text())
        booking = fleet.book("h2", "booking-7", {"stable": "Hoofline", "day": "Friday"})
        print("booking through h2:", booking.status, booking.body)
        print("time line of daycare.demo-1:")
        print_timeline(read_timeline(fleet, "daycare.demo-1"))
        codes = fleet.stop()
    print("hosts stopped with exit codes", codes)
    complete = client.is_whole(answer, "Rebuild the roster of week 50", 12)
    succeeded = complete and booking.status == 200 and not any(codes.values())
    sys.exit(0 if succeeded else 1)


main()
