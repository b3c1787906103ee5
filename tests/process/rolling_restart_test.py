"""All hosts are replaced one by one under steady load; no request fails."""

from support.fleet import Fleet
from support.golden import check_golden
from support.load import SteadyLoad
from support.processes import wait_for

ANSWERS_BETWEEN = 40


def main():
    lines = []
    with Fleet() as fleet:
        for name in ("e1", "e2"):
            fleet.start_engine(name, slots=16, token_delay_ms=3, first_token_delay_ms=1)
        fleet.publish_defaults(slots=16)
        fleet.start_hosts(3)
        fleet.wait_ready()
        in_rotation = list(fleet.hosts)
        with SteadyLoad(fleet, hosts=lambda: list(in_rotation)) as load:
            for number in (1, 2, 3):
                wait_for_complete(load, ANSWERS_BETWEEN)
                old, new = f"h{number}", f"h{number + 3}"
                fleet.start_host(new)
                fleet.publish_hosts()
                wait_for(lambda: fleet.chat(new, "ready?", 1).status == 200, what=f"{new} ready")
                in_rotation.append(new)
                # The load balancer sends to the old host until it refuses connections.
                host = fleet.hosts[old]
                host.process.terminate()
                code = host.process.wait()
                in_rotation.remove(old)
                del fleet.hosts[old]
                fleet.publish_hosts()
                lines.append(f"{old} replaced by {new}: exit code {code}")
            wait_for_complete(load, ANSWERS_BETWEEN)
        lines.append(f"failed requests: {len(load.failures)}")
        for failure in load.failures[:3]:
            print(failure)
        codes = fleet.stop()
        lines.append(f"exit codes at the end: {sorted(codes.items())}")
    check_golden("rolling_restart.txt", lines)


def wait_for_complete(load, count):
    """Waits for `count` more complete responses, or the first failure."""
    start = load.complete
    wait_for(lambda: load.complete >= start + count or load.failures, 60, "complete answers")


main()
