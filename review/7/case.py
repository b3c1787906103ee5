"""The last engine of a software version leaves, and all hosts are killed before the engine ends."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from bench import TROUBLE, desired_state, end_hosts, route, run, start_hosts, start_store, until
from streams import StreamCaller, StreamEngine

STREAMS = 36
DRAIN_SECONDS = 2.5  # drain_ms; the engine serves for so long after its entry is removed.
DOWN_SECONDS = 0.78  # closing = { kind = "kill_all", down_s = 0.78 }


async def play(record, folder):
    engines = {name: StreamEngine(name, "engines", version, record)
               for name, version in (("e1", "v1"), ("e2", "v2"), ("e3", "v2"))}
    for engine in engines.values():
        engine.born -= 120_000  # All were started two minutes ago.
        await engine.start()
    routes = [route("plans", "/plans/", "streaming", "engines", stream_resume=True, gap_aim_ms=1200,
                    timeout_ms=12000, target_latency_ms=2000)]
    store = await start_store(desired_state(1, routes, ["engines"]),
                              {name: engine.entry() for name, engine in engines.items()})
    hosts = await start_hosts(folder, 3, store, record)
    try:
        await asyncio.sleep(5)
        callers = [StreamCaller(f"s{number}", f"/plans/{number}", 12, record)
                   for number in range(STREAMS)]
        runs = [asyncio.ensure_future(caller.run(lambda tries, at=index: hosts[(at + tries) % 3].caller))
                for index, caller in enumerate(callers)]
        await asyncio.sleep(2)
        # Planned work, with and without the disruption: an engine that never says that it is leaving.
        store.put("keyed.servers", "e1", None)
        record("the entry of engine e1 is removed")
        await asyncio.sleep(0.5)
        if TROUBLE:
            for host in hosts:
                host.send(signal.SIGKILL)
            record("all hosts are killed")
            await asyncio.sleep(DOWN_SECONDS)
            for host in hosts:
                host.process.wait()
                host.start()
            for host in hosts:
                await until(host.is_ready, f"{host.name} to be ready")
            record("hosts ready again")
        await asyncio.sleep(DRAIN_SECONDS)
        engines["e1"].server.close()
        for writer in list(engines["e1"].channels):
            writer.close()
        record("engine e1 has ended")
        await asyncio.gather(*runs)
    finally:
        end_hosts(hosts)
    mixed = [caller for caller in callers if len(caller.versions()) > 1]
    record(len(callers), "streams,", sum(caller.is_complete for caller in callers), "complete,",
           len(mixed), "with events of two software versions")
    for caller in mixed:
        record(caller.name, *[f"{event[0]}:{event[1]}" for event in caller.events])
    if len(mixed) > 2:
        return [f"ORDER: {len(mixed)} streams hold events from engines of two software versions: "
                f"{' '.join(caller.name for caller in mixed)}"]
    return []


if __name__ == "__main__":
    sys.exit(run(HERE / "record.txt", play))
