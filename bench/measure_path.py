"""Measures the cost of forwarding requests through quincefall; run by `scripts/measure path`.

Prints one JSON object: time added to the first token at 200 requests/s over three hosts, tokens
forwarded per second of one core, memory and processor use of an idle host.
"""

import argparse
import json
import os
import subprocess
import time

from support.fleet import CALLER_KEY, Fleet

HOSTS = 3
ENGINES = 3
IDLE_S = 10
SETTLE_S = 3
TARGETS = {
    "added_median_ms": 0.5,
    "added_p99_ms": 2.0,
    "tokens_per_core_second": 100_000,
    "idle_resident_mb": 32,
    "idle_processor_share": 0.005,
}
BYTES_PER_MB = 1_048_576


def run_bench(**flags):
    command = [os.path.join(os.environ["BENCH_FOLDER"], "path_bench")]
    command += [f"--{flag}={value}" for flag, value in flags.items()]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(done.stdout)


def start_fleet(fleet, tokens_per_write):
    for number in range(1, ENGINES + 1):
        fleet.start_engine(f"e{number}", slots=1000, queue=1000, token_delay_ms=0,
                           first_token_delay_ms=0, tokens_per_write=tokens_per_write)
    fleet.publish_defaults(slots=1000)
    fleet.start_hosts(HOSTS)
    fleet.wait_ready()


def measure_idle(fleet):
    """Highest values over the hosts while no request runs."""
    time.sleep(SETTLE_S)
    before = {name: host.process.cpu_seconds() for name, host in fleet.hosts.items()}
    start = time.monotonic()
    time.sleep(IDLE_S)
    elapsed = time.monotonic() - start
    shares = [(host.process.cpu_seconds() - before[name]) / elapsed
              for name, host in fleet.hosts.items()]
    resident = [host.process.resident_bytes() for host in fleet.hosts.values()]
    return {"idle_processor_share": round(max(shares), 5),
            "idle_resident_mb": round(max(resident) / BYTES_PER_MB, 2)}


def measure_latency(fleet, seconds):
    return run_bench(
        mode="latency", seconds=seconds, key=CALLER_KEY,
        direct=",".join(engine.address for engine, _, _ in fleet.listed_upstreams.values()),
        through=",".join(host.caller for host in fleet.hosts.values()))


def measure_throughput(fleet, seconds):
    """Sends all requests through one host and measures the processor time of that host only."""
    host = fleet.hosts["h1"]
    return run_bench(mode="throughput", seconds=seconds, key=CALLER_KEY, through=host.caller,
                     pids=host.process.pid, tokens=2000)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20, help="length of each measurement")
    seconds = parser.parse_args().seconds
    report = {}
    with Fleet() as fleet:
        start_fleet(fleet, tokens_per_write=16)
        report.update(measure_idle(fleet))
        report["latency"] = measure_latency(fleet, seconds)
        report["throughput"] = {"16_tokens_per_write": measure_throughput(fleet, seconds)}
    with Fleet() as fleet:
        start_fleet(fleet, tokens_per_write=1)
        report["throughput"]["1_token_per_write"] = measure_throughput(fleet, seconds)
    report["targets"] = TARGETS
    report["load_average"] = os.getloadavg()[0]
    print(json.dumps(report))


main()
