"""Engines reach the declared state, also when holders of the lease are paused or killed."""

import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import OPERATOR_KEY, Fleet
from support.golden import check_golden
from support.processes import wait_for

TRANSFERS_PER_S = 4


def lease_records(fleet):
    stream = fleet.log.get("/admin/streams")["streams"].get("leases", {"records": []})
    return [(record["offset"], json.loads(record["data"])) for record in stream["records"]]


def holder_of(fleet):
    """Holder and fence of the newest lease that was renewed; only the actual holder renews."""
    renewed = [record for _, record in lease_records(fleet) if record["action"] == "renew"]
    newest = max(renewed, key=lambda record: record["fence"], default=None)
    return (newest["holder"], newest["fence"]) if newest else (None, 0)


def models_of(engine):
    return {entry["model"]: (entry["version"], tuple(entry["adapters"]))
            for entry in engine.get("/orders")["loaded"]}


def publish_pool(fleet, engines):
    upstreams = fleet.upstream_specs("engine", 8)
    for entry in upstreams:
        entry["checks_fencing"] = entry["name"] != "engine-3"
    fleet.publish("pool", "roster-assistant", {"upstreams": upstreams})
    assert len(upstreams) == len(engines)


def wait_models(engines, model, expected, what):
    wait_for(lambda: all(models_of(engine).get(model) == expected for engine in engines), 60, what)


def fences_in_order(engine):
    fences = [order["fencing"] for order in engine.get("/admin/orders")["orders"]]
    return fences == sorted(fences)


def replicas_of(engines, model):
    return sum(model in models_of(engine) for engine in engines)


def holders_in_desired_state(fleet):
    """Hosts that report to hold the lease with all engines in the declared state."""
    holders = []
    for name, host in fleet.hosts.items():
        answer = client.send(host.operator, "GET", "/v1/status",
                             headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
        own = [entry for entry in answer.json()["hosts"] if entry["host"] == name]
        orders = own[0]["orders"]
        if orders["held_here"] and orders["engines"] and not orders["not_as_declared"]:
            holders.append(name)
    return holders


def main():
    lines = []
    with Fleet() as fleet:
        weights = fleet.start_standin("weights", "weights",
                                      {"transfers_per_second": TRANSFERS_PER_S})
        engines = [fleet.start_engine(f"engine-{number}", weights=weights.address, load_ms=100,
                                      checks_fencing="false" if number == 3 else "true")
                   for number in (1, 2, 3)]
        fleet.start_hosts(3)
        publish_pool(fleet, engines)
        fleet.publish("model", "m", {"pool": "roster-assistant", "version": "2",
                                     "adapters": ["naps"]})
        fleet.publish("model", "big", {"pool": "roster-assistant", "replicas": 1})
        wait_models(engines, "m", ("2", ("naps",)), "m:2 with its adapter on all engines")
        wait_for(lambda: replicas_of(engines, "big") == 1, 60, "one replica of big")
        lines.append("declared version, adapter and replicas are loaded")

        first, first_fence = wait_for(lambda: holder_of(fleet) if holder_of(fleet)[0] else None,
                                      30, "a holder")
        fleet.hosts[first].process.pause()
        fleet.publish("model", "m", {"pool": "roster-assistant", "version": "3"})
        wait_for(lambda: holder_of(fleet)[1] > first_fence, 60, "a second holder")
        wait_models(engines, "m", ("3", ()), "m:3 by the second holder")
        lines.append("holder paused: the next one loads the new version")
        fleet.hosts[first].process.resume()
        second, second_fence = holder_of(fleet)
        fleet.publish("model", "m", {"pool": "roster-assistant", "version": "4"})
        wait_models(engines, "m", ("4", ()), "m:4 after the first holder was resumed")
        assert holder_of(fleet) == (second, second_fence), "the resumed holder took the lease"
        lines.append("holder woke up: the second one stays, and engines follow it")

        fleet.hosts.pop(second).process.kill()
        fleet.publish("model", "m", {"pool": "roster-assistant", "version": "5"})
        wait_models(engines, "m", ("5", ()), "m:5 by the third holder")
        lines.append("holder killed: the next one loads the new version")

        engines[0].set_faults(lose_answers=2, lose_path="/orders")
        fleet.publish("model", "m", {"pool": "roster-assistant", "version": "6"})
        wait_models(engines, "m", ("6", ()), "m:6 although answers were lost")
        engines[0].set_faults()
        lines.append("answers of orders lost: the state is reached and read back")
        assert replicas_of(engines, "big") == 1, replicas_of(engines, "big")
        lines.append(f"fencing numbers never fall: {[fences_in_order(one) for one in engines]}")
        wait_for(lambda: len(holders_in_desired_state(fleet)) == 1,
                 60, "one holder with all engines in the declared state")
        lines.append("status: one host holds the lease, all is as declared")
        refused = weights.get("/admin/transfers")["refused"]
        lines.append(f"transfers refused by the weight store: {refused}")
    check_golden("orders.txt", lines)


main()
