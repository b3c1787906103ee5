"""The main job on stand-ins: publish a configuration, ask, book, read the time line, stop."""

import os
import subprocess
import sys

from support import client
from support.fleet import OPERATOR_KEY, Fleet


def print_timeline(fleet, request):
    """The events of one request from all hosts, merged by any one of them."""
    subprocess.run([os.environ["QUINCEFALL_BIN"], "timeline", "--request", request,
                    "--host", fleet.hosts["h3"].operator, "--key", OPERATOR_KEY], check=True)


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
        print("time line of daycare.demo-1:", flush=True)
        print_timeline(fleet, "daycare.demo-1")
        codes = fleet.stop()
    print("hosts stopped with exit codes", codes)
    complete = client.is_whole(answer, "Rebuild the roster of week 50", 12)
    succeeded = complete and booking.status == 200 and not any(codes.values())
    sys.exit(0 if succeeded else 1)


main()
