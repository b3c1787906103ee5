"""An upstream gets no new requests from 2 s after the host list shows it as leaving."""

import time

from support.fleet import Fleet
from support.golden import check_golden
from support.load import SteadyLoad
from support.processes import wait_for

GRACE_S = 2
OBSERVED_S = 3


def attempts(engine):
    return sum(counts["attempts"] for counts in engine.runs().values())


def main():
    lines = []
    with Fleet() as fleet:
        leaving = fleet.start_engine("e1", token_delay_ms=2, first_token_delay_ms=1)
        staying = fleet.start_engine("e2", token_delay_ms=2, first_token_delay_ms=1)
        fleet.publish_defaults()
        fleet.start_hosts(3)
        fleet.wait_ready()
        with SteadyLoad(fleet, callers=12) as load:
            wait_for(lambda: attempts(leaving) > 5 and attempts(staying) > 5, what="both in use")
            fleet.set_leaving("e1")
            # The guarantee is this time limit, so the test sleeps instead of polling a condition.
            time.sleep(GRACE_S)
            at_limit, elsewhere = attempts(leaving), attempts(staying)
            time.sleep(OBSERVED_S)
            lines.append(f"new work on e1 after {GRACE_S} s: {attempts(leaving) - at_limit}")
            lines.append(f"e2 goes on: {attempts(staying) > elsewhere}")
        lines.append(f"failed requests: {len(load.failures)}")
        for failure in load.failures[:3]:
            print(failure)
    check_golden("leaving_upstream.txt", lines)


main()
