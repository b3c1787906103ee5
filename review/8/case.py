"""All hosts are stopped and started in turn; the streams of the last one can't be taken up any more."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from bench import TROUBLE, desired_state, end_hosts, route, run, start_hosts, start_store
from streams import StreamCaller, StreamEngine

HOSTS = 7
GAP_SECONDS = 1.0  # roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s (1).
RESTART_SECONDS = 0.3  # "A process that exits or is killed is restarted after a short delay".
STABLE_SECONDS = 4.0  # stable_window_ms
STREAMS = 24  # Of the last host.
LEAD_SECONDS = 0.3  # From the begin of these streams until its SIGTERM.
OTHER_STREAMS = 4  # Of each other host.


async def restart(host, record, started):
    host.send(signal.SIGTERM)
    record(host.name, "gets SIGTERM")
    while host.process.poll() is None:
        await asyncio.sleep(0.02)
    record(host.name, "has exited with", host.process.returncode)
    await asyncio.sleep(RESTART_SECONDS)
    host.start()
    started[host.name] = time.monotonic()
    record(host.name, "is started again")


async def play(record, folder):
    engines = [StreamEngine(name, service, "v1", record)
               for name, service in (("p1", "pool"), ("p2", "pool"), ("p3", "pool"), ("p4", "pool"),
                                     ("q1", "spare"), ("q2", "spare"))]
    for engine in engines:
        await engine.start()
    plans = route("plans", "/plans/", "streaming", "pool", stream_resume=True, gap_aim_ms=1200,
                  timeout_ms=12000, target_latency_ms=2000)
    del plans["service"]
    plans["traffic_split"] = [{"service": "pool", "weight": 90}, {"service": "spare", "weight": 10}]
    store = await start_store(desired_state(1, [plans], ["pool", "spare"]),
                              {engine.name: engine.entry() for engine in engines})
    store.put("keyed.op", "config", desired_state(7, [plans], ["pool", "spare"]))
    hosts = await start_hosts(folder, HOSTS, store, record)
    started = {host.name: time.monotonic() for host in hosts}
    last = hosts[-1]

    def in_touch(host):
        return time.monotonic() >= started[host.name] + STABLE_SECONDS + 0.2

    def entry_port(caller, tries):
        """The entry address leads to the last host at first, and to one in touch for later tries."""
        if tries == 0 or not TROUBLE:
            return last.caller
        sound = [host for host in hosts if host is not last and in_touch(host)]
        return sound[int(caller.name[1:]) % len(sound)].caller

    try:
        await asyncio.sleep(5)
        others = [StreamCaller(f"o{number}", f"/plans/o{number}", 12, record)
                  for number in range(OTHER_STREAMS * (HOSTS - 1))]
        runs = [asyncio.ensure_future(caller.run(
            lambda tries, at=index: hosts[at % (HOSTS - 1)].caller)) for index, caller in enumerate(others)]
        await asyncio.sleep(0.5)
        began = time.monotonic()
        rolls = []
        for host in hosts[:-1]:
            if TROUBLE:
                rolls.append(asyncio.ensure_future(restart(host, record, started)))
            await asyncio.sleep(GAP_SECONDS - (LEAD_SECONDS if host is hosts[-2] else 0))
        callers = [StreamCaller(f"s{number}", f"/plans/{number}", 12, record)
                   for number in range(STREAMS)]
        runs += [asyncio.ensure_future(caller.run(lambda tries, one=caller: entry_port(one, tries)))
                 for caller in callers]
        await asyncio.sleep(LEAD_SECONDS)
        if TROUBLE:
            rolls.append(asyncio.ensure_future(restart(last, record, started)))
        await asyncio.sleep(began + 13.3 - time.monotonic())
        if not TROUBLE:
            for caller in callers:
                caller.writer.close()  # The channels break; the hosts run on.
            record("all channels to the last host are closed by their callers")
        sound = [host for host in hosts if in_touch(host) and not (TROUBLE and host is last)]
        record("hosts in touch:", *[host.name for host in sound])
        news = [StreamCaller(f"n{number}", f"/plans/n{number}", 3, record) for number in range(STREAMS)]
        runs += [asyncio.ensure_future(caller.run(lambda tries, at=index: sound[at % len(sound)].caller))
                 for index, caller in enumerate(news)]
        await asyncio.gather(*runs, *rolls)
    finally:
        end_hosts(hosts)
    taken_up = [caller for caller in callers if len(caller.tries) > 1 and caller.first_id]
    going_on = [caller for caller in taken_up if any(count > 0 for _, _, count in caller.tries[1:])]
    begun = [caller for caller in news if caller.tries[0][2] > 0]
    record(len(taken_up), "streams taken up at hosts in touch,", len(going_on), "of them go on;",
           len(news), "new streams,", len(begun), "of them begin;",
           sum(caller.is_complete for caller in callers), "of the earlier ones complete")
    if len(taken_up) >= 12 and len(going_on) / len(taken_up) < 0.5 * len(begun) / len(news):
        return [f"LOST: {len(going_on)} of {len(taken_up)} streams that were taken up go on, while "
                f"{len(begun)} of {len(news)} new streams begin"]
    return []


if __name__ == "__main__":
    sys.exit(run(HERE / "record.txt", play))
