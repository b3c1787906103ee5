"""A burst of a lower tier to several times the capacity: requests of the higher tier are served,
and refused requests are not run."""

import time

from support import client
from support.fleet import Fleet
from support.golden import check_golden
from support.load import run_all

SLOTS = 2
TOKENS = 10
TOKEN_DELAY_MS = 20  # 0.2 s per response, so 10 responses per second
DIRECTORS = 8
LEADERS = 60
LEADER_MAX_WAIT_MS = 1500


def main():
    lines = []
    with Fleet() as fleet:
        engine = fleet.start_engine("engine-1", slots=SLOTS, token_delay_ms=TOKEN_DELAY_MS)
        fleet.start_hosts(3)
        fleet.publish_defaults(slots=SLOTS)
        fleet.publish("service_class", "leader", {"tier": 3, "max_wait_ms": LEADER_MAX_WAIT_MS})
        fleet.wait_ready()
        hosts = list(fleet.hosts)

        def work(index):
            is_director = index >= LEADERS
            label = f"director-{index}" if is_director else f"leader-{index}"
            if is_director:
                time.sleep(0.3)  # lets the burst of leaders arrive first
            answer = fleet.stream(hosts[index % 3], label, TOKENS, label,
                                  service_class=label.split("-")[0], timeout_s=60)
            return label, client.is_whole(answer, label, TOKENS), answer

        results = run_all(LEADERS + DIRECTORS, work)
        ran = engine.runs()
        directors = [complete for label, complete, _ in results if label.startswith("director")]
        leaders = [(label, complete, answer) for label, complete, answer in results
                   if label.startswith("leader")]
        refused = [(label, answer) for label, complete, answer in leaders if not complete]
        lines.append(f"directors complete: {sum(directors)} of {DIRECTORS}")
        lines.append(f"some leaders served: {len(refused) < LEADERS}, some refused: {bool(refused)}")
        lines.append("refused with 503 and a time to come back: "
                     f"{all(a.status == 503 and 'Retry-After' in a.headers for _, a in refused)}")
        lines.append("refused but run by the engine: "
                     f"{sum(f'daycare.{label}' in ran for label, _ in refused)}")
    check_golden("burst.txt", lines)


main()
