"""An operator's session: plan, apply, wait, conflicting changes, lost responses, a log outage, time
line."""

import json
import os
import pathlib
import re
import subprocess
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import CALLER_KEY, OPERATOR_KEY, Fleet, binary, key_digest
from support.golden import check_golden
from support.processes import wait_for

LIMIT_S = 60


class Operator:
    """Runs verbs of the program; the transcript masks values that vary between runs."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lines = []

    def run(self, *words, host="h1", text=None):
        command = [binary("QUINCEFALL_BIN"), *words]
        if host:
            command.append("--host=" + self.fleet.hosts[host].operator)
        environment = {**os.environ, "QUINCEFALL_OPERATOR_KEY": OPERATOR_KEY, "USER": "tester"}
        return subprocess.run(command, input=text, capture_output=True, text=True,
                              env=environment, timeout=LIMIT_S, check=False)

    def show(self, label, *words, **options):
        done = self.run(*words, **options)
        self.lines.append(f"$ {label}")
        for line in (done.stdout + done.stderr).splitlines():
            self.lines.append("  " + self.mask(line))
        self.lines.append(f"  exit {done.returncode}")
        return done

    @staticmethod
    def mask(line):
        line = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", line)
        line = re.sub(r"tester-\d+", "tester-N", line)
        line = re.sub(r"below offset \d+", "below offset N", line)
        return line

    def note(self, text):
        self.lines.append(text)

    def send(self, method, path, body=None, headers=None, host="h1"):
        return client.send(self.fleet.hosts[host].operator, method, path, body,
                           {"Authorization": f"Bearer {OPERATOR_KEY}", **(headers or {})})

    def put_class(self, name, tier, operation, version=None, host="h1"):
        headers = {"X-Operation-Id": operation}
        if version is not None:
            headers["If-Match"] = str(version)
        return self.send("PUT", f"/v1/resources/service_class/{name}", {"tier": tier}, headers,
                         host)


def manifest(fleet, tier=1):
    engine = fleet.standins["engine-1"]
    return f"""
kind: model
name: m
spec: {{pool: roster-assistant}}
---
kind: pool
name: roster-assistant
spec:
  upstreams:
    - {{name: engine-1, address: "{engine.address}", region: uusimaa, failure_domain: espoo}}
---
kind: organisation
name: daycare
spec: {{key_sha256: [{key_digest(CALLER_KEY)}], default_class: director}}
---
kind: service_class
name: director
spec: {{tier: {tier}, first_token_ms: 700}}
"""


def declare(operator, fleet):
    operator.show("apply, dry run", "apply", "-f", "-", "--dry-run", text=manifest(fleet))
    operator.show("apply and wait", "apply", "-f", "-", "--wait", text=manifest(fleet))
    operator.show("apply again", "apply", "-f", "-", text=manifest(fleet))
    operator.show("apply a change, dry run", "apply", "-f", "-", "--dry-run",
                  text=manifest(fleet, tier=2))
    operator.show("apply a change", "apply", "-f", "-", "--wait", text=manifest(fleet, tier=2))
    operator.show("list", "list", host="h2")
    operator.show("get", "get", "service_class/director", host="h3")
    operator.show("apply a mistake", "apply", "-f", "-",
                  text="kind: service_class\nname: leader\nspec: {tier: 9, wait: 1}\n")
    operator.show("apply a missing reference", "apply", "-f", "-",
                  text="kind: model\nname: n\nspec: {pool: nowhere}\n")
    operator.show("delete what is named", "delete", "service_class/director")


def race(operator):
    """Two operators create the same class through different hosts."""
    answers = {}

    def create(host):
        answers[host] = operator.put_class("raced", 1, f"race-by-{host}", version=0, host=host)

    threads = [threading.Thread(target=create, args=(host,)) for host in ("h1", "h2")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(answer.status for answer in answers.values())
    winner = next(host for host, answer in answers.items() if answer.status == 200)
    loser = next(answer for answer in answers.values() if answer.status == 409)
    names_winner = f"race-by-{winner}" in loser.json()["detail"]
    operator.note(f"race of two: {statuses}, the conflict names the winner: {names_winner}")
    again = operator.put_class("raced", 1, f"race-by-{winner}", version=0, host="h3")
    operator.note("the winner repeats through another host: "
                  f"{again.status}, same answer: {again.json() == answers[winner].json()}")


def lost_answer(operator, fleet):
    """The log appends the record but its response is lost."""
    fleet.log.set_faults(lose_answers=1)
    answer = operator.put_class("lost", 1, "lost-1")
    fleet.log.set_faults()
    outcome = operator.send("GET", "/v1/operations/lost-1").json()
    operator.note(f"lost append answer: {answer.status} {outcome['outcome']}")


def unknown_outcome(operator, fleet):
    """The log does not respond: the outcome is unknown until the call is repeated."""
    fleet.log.set_faults(silent=True)
    answer = operator.put_class("unknown", 1, "unknown-1")
    problem = answer.json()
    fleet.log.set_faults()
    again = operator.put_class("unknown", 1, "unknown-1")
    same = operator.put_class("unknown", 1, "unknown-1", host="h2")
    operator.note(f"silent log: {answer.status} code={problem['code']} run={problem['run']}, "
                  f"repeated: {again.status}, same answer: {again.json() == same.json()}")


def outage(operator, fleet):
    fleet.log.set_faults(down=True)
    before = operator.send("GET", "/v1/resources").json()["version"]
    operator.show("apply while the log is down", "apply", "-f", "-",
                  text="kind: service_class\nname: night\nspec: {tier: 4}\n")
    operator.show("ask by operation id", "operation", "none-such")
    wait_for(lambda: all(not host["log_reachable"] for host in status(operator)["hosts"]),
             LIMIT_S, "all hosts to report the outage")
    answer = fleet.stream("h1", "during the outage", 3, request_id="outage-1")
    operator.note(f"chat while the log is down: {answer.status} {answer.text()}")
    fleet.log.set_faults()
    wait_for(lambda: all(host["log_reachable"] for host in status(operator)["hosts"]),
             LIMIT_S, "all hosts to reach the log")
    after = operator.send("GET", "/v1/resources").json()["version"]
    operator.note(f"records written meanwhile: {after - before}")


def status(operator):
    return json.loads(operator.run("status", "--json", host="h2").stdout)


def check_watch(operator, fleet):
    """A watch from the version before a change reports the change and each host that applied it."""
    version = operator.send("GET", "/v1/resources").json()["version"]
    address = fleet.hosts["h3"].operator
    command = [binary("QUINCEFALL_BIN"), "watch", f"--host={address}", f"--from={version}"]
    environment = {**os.environ, "QUINCEFALL_OPERATOR_KEY": OPERATOR_KEY}
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env=environment) as watch:
        try:
            written = operator.put_class("watched", 1, "watch-1").json()["version"]
            change, hosts = "", set()
            while len(hosts) < 3:
                line = json.loads(watch.stdout.readline())
                if line["type"] == "change":
                    change = f"{line['action']} {line['kind']}/{line['name']}"
                elif line["type"] == "in_force" and line["version"] >= written:
                    hosts.add(line["host"])
        finally:
            watch.terminate()
    operator.note(f"watch: {change}, in force on {sorted(hosts)}")


def check_timeline(operator, fleet):
    fleet.stream("h1", "why", 4, request_id="story-1")
    done = operator.run("timeline", "--request=daycare.story-1", "--format=jsonl", host="h3")
    kinds = [json.loads(line)["event"] for line in done.stdout.splitlines()]
    operator.note(f"time line of one request: {' '.join(kinds)}")
    trace = operator.run("timeline", "--request=daycare.story-1", "--format=trace", host="h3")
    operator.note(f"as a trace: {len(json.loads(trace.stdout)['traceEvents']) > len(kinds)}")
    queues = [row for host in status(operator)["hosts"] for row in host["queues"]]
    operator.note("status: " + " ".join(
        f"{queue['pool']} waiting={queue['waiting']} running={queue['running']} "
        f"{queue['upstreams'][0]['upstream']}={queue['upstreams'][0]['state']}"
        for queue in queues))
    metrics = operator.send("GET", "/metrics").body.decode()
    complete = re.search(r'quincefall_answers_total\{class="director",outcome="complete"\} (\d+)',
                         metrics)
    operator.note(f"complete answers counted on h1: {complete.group(1)}")


def refuse(operator):
    wrong = operator.run("list", "--key=wrong-key-of-someone")
    operator.note(f"wrong key: exit {wrong.returncode}")
    nobody = operator.run("list", "--host=127.0.0.1:1", host=None)
    operator.note(f"no host: exit {nobody.returncode}")
    next_host = operator.run(
        "list", f"--host=127.0.0.1:1,{operator.fleet.hosts['h2'].operator}", host=None)
    operator.note(f"the next host answers: exit {next_host.returncode}")
    usage = operator.run("get", "nothing")
    operator.note(f"wrong arguments: exit {usage.returncode}")


def drain(operator, fleet):
    operator.show("drain", "drain", host="h3")
    code = fleet.hosts.pop("h3").process.wait()
    operator.note(f"drained host: exit {code}")


def main():
    with Fleet() as fleet:
        fleet.start_engine("engine-1")
        fleet.start_hosts(3)
        operator = Operator(fleet)
        wait_for(lambda: all(host.get("ready") for host in status(operator)["hosts"])
                 and len(status(operator)["hosts"]) == 3, LIMIT_S, "three ready hosts")
        declare(operator, fleet)
        race(operator)
        lost_answer(operator, fleet)
        unknown_outcome(operator, fleet)
        fleet.wait_ready()
        outage(operator, fleet)
        check_watch(operator, fleet)
        check_timeline(operator, fleet)
        refuse(operator)
        drain(operator, fleet)
        operator.note(f"exit codes: {sorted(fleet.stop().values())}")
    check_golden("operator.txt", operator.lines)


main()
