"""Measures how a host's memory, processor time and control traffic grow; prints one JSON object.

Varies the number of hosts (on loopback) and of declared engines and organisations, and measures the
cost of configuration changes.
"""

import json
import re
import time

from support import client
from support.fleet import OPERATOR_KEY, Fleet, key_digest
from support.processes import wait_for

HOST_COUNTS = (3, 9, 18, 32)
ORGANISATION_COUNTS = (10, 1_000, 13_000)
ENGINE_COUNTS = (10, 100, 1_000)
IDLE_SECONDS = 5.0
CHANGES = 200
RECORDS_PER_APPEND = 500
MB = 1024 * 1024


def control_bytes(host):
    """Bytes that the host has sent and received on peer connections."""
    text = client.send(host.operator, "GET", "/metrics",
                       headers={"Authorization": f"Bearer {OPERATOR_KEY}"}).body.decode()
    return {kind: sum(float(value) for value in re.findall(
        rf'quincefall_control_bytes_total{{[^}}]*{kind}[^}}]*}} (\S+)', text))
        for kind in ("sent", "received")}


def idle_costs(count):
    """Mean costs of a host in a fleet of `count` hosts without requests."""
    with Fleet() as fleet:
        fleet.start_hosts(count)
        fleet.publish("service_class", "only", {"tier": 1})
        for host in fleet.hosts.values():
            wait_for(lambda host=host: client.send(host.operator, "GET", "/readyz").status == 200,
                     60, "ready")
        time.sleep(2)  # lets the connections settle
        hosts = list(fleet.hosts.values())
        before = [(host.process.cpu_seconds(), control_bytes(host)) for host in hosts]
        begin = time.monotonic()
        time.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - begin
        after = [(host.process.cpu_seconds(), control_bytes(host)) for host in hosts]
        resident = sum(host.process.resident_bytes() for host in hosts) / count
    def rate(kind):
        return sum(b[1][kind] - a[1][kind] for a, b in zip(before, after)) / count / elapsed
    cpu = sum(b[0] - a[0] for a, b in zip(before, after)) / count / elapsed
    return {"hosts": count, "processor_share": round(cpu, 5),
            "sent_bytes_per_second": round(rate("sent")),
            "received_bytes_per_second": round(rate("received")),
            "resident_mb": round(resident / MB, 2)}


def publish_many(fleet, resources):
    records = [json.dumps({"operation": f"op-{kind}-{name}", "kind": kind, "name": name,
                           "spec": spec}) for kind, name, spec in resources]
    for start in range(0, len(records), RECORDS_PER_APPEND):
        answer = client.send(fleet.log.address, "POST", "/streams/config/records",
                             {"records": records[start:start + RECORDS_PER_APPEND]})
        assert answer.status == 200, answer
        time.sleep(0.01)


def organisation(number):
    return ("organisation", f"org-{number}",
            {"key_sha256": [key_digest(f"key-{number}")], "default_class": "only"})


def engine(number):
    return {"name": f"engine-{number}", "address": f"127.0.0.1:{10_000 + number}",
            "region": "uusimaa", "failure_domain": "espoo", "slots": 8}


def state_costs(resources):
    """Memory and processor time that one host needs to apply declared resources."""
    with Fleet(log_flags={"retention": 1_000_000}) as fleet:
        fleet.start_host("h1", extra={"platform": {
            "log": fleet.log.address, "hosts": fleet.host_list.address,
            "checkpoint_every": 1_000_000}})
        fleet.publish_hosts()
        fleet.publish("service_class", "only", {"tier": 1})
        host = fleet.hosts["h1"]
        wait_for(lambda: client.send(host.operator, "GET", "/readyz").status == 200, 30, "ready")
        before = (host.process.resident_bytes(), host.process.cpu_seconds())
        publish_many(fleet, resources)
        last = resources[-1]
        path = f"/v1/resources/{last[0]}/{last[1]}"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        wait_for(lambda: client.send(host.operator, "GET", path, headers=headers).status == 200,
                 120, "the last resource in force")
        after = (host.process.resident_bytes(), host.process.cpu_seconds())
    return {"resident_mb_added": round((after[0] - before[0]) / MB, 2),
            "processor_seconds": round(after[1] - before[1], 3)}


def change_costs():
    """Processor time per change and host, and the mean time until a change is accepted."""
    with Fleet() as fleet:
        fleet.start_hosts(9)
        fleet.publish("service_class", "only", {"tier": 1})
        hosts = list(fleet.hosts.values())
        for host in hosts:
            wait_for(lambda host=host: client.send(host.operator, "GET", "/readyz").status == 200,
                     60, "ready")
        before = sum(host.process.cpu_seconds() for host in hosts)
        begin = time.monotonic()
        for number in range(CHANGES):
            answer = client.send(hosts[number % 9].operator, "PUT",
                                 "/v1/resources/service_class/only", {"tier": 1 + number % 4},
                                 {"Authorization": f"Bearer {OPERATOR_KEY}",
                                  "X-Operation-Id": f"change-{number}"})
            assert answer.status == 200, answer
        elapsed = time.monotonic() - begin
        spent = sum(host.process.cpu_seconds() for host in hosts) - before
    return {"changes": CHANGES, "accepted_ms_mean": round(elapsed / CHANGES * 1000, 2),
            "processor_ms_per_change_and_host": round(spent / CHANGES / 9 * 1000, 3)}


def main():
    result = {"measurement": "capacity"}
    result["hosts"] = [idle_costs(count) for count in HOST_COUNTS]
    result["organisations"] = [
        {"organisations": count, **state_costs([organisation(n) for n in range(count)])}
        for count in ORGANISATION_COUNTS]
    result["engines"] = [
        {"engines": count, **state_costs([("pool", "p", {"upstreams": [
            engine(n) for n in range(count)]})])} for count in ENGINE_COUNTS]
    result["changes"] = change_costs()
    print(json.dumps(result, indent=1))


main()
