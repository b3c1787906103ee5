"""Follows README.md: declares its classes and pool, kills an engine and reads the time line."""

import json
import os
import pathlib
import re
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import OPERATOR_KEY, Fleet, binary
from support.processes import wait_for

README = pathlib.Path(__file__).resolve().parents[2] / "README.md"
LIMIT_S = 60
TOKENS = 200


class ReadmeRunner:
    """Runs the README's commands against a test fleet, with the ports replaced."""

    def __init__(self, fleet, text):
        self.fleet = fleet
        self.manifest = re.search(r"```yaml\n(.*?)```", text, re.S).group(1)
        for port, name in (("9001", "engine-1"), ("9002", "engine-2")):
            address = fleet.standins[name].address
            self.manifest = self.manifest.replace(f"127.0.0.1:{port}", address)
        self.commands = re.findall(r"^    quincefall (.*?)(?: +#.*)?$", text, re.M)
        self.path = os.path.join(fleet.folder, "fleet.yaml")
        pathlib.Path(self.path).write_text(self.manifest, encoding="utf-8")

    def command(self, beginning):
        """The README's first command that starts with `beginning`, as an argument list."""
        line = next(line for line in self.commands if line.startswith(beginning))
        line = line.replace("127.0.0.1:8003", self.fleet.hosts["h1"].operator)
        return [binary("QUINCEFALL_BIN")] + line.replace("fleet.yaml", self.path).split()

    def run(self, beginning):
        done = subprocess.run(self.command(beginning), capture_output=True, text=True, check=False,
                              env=environment(), timeout=LIMIT_S)
        assert done.returncode == 0, (beginning, done.returncode, done.stdout, done.stderr)
        return done.stdout

    def first_watch_lines(self):
        with subprocess.Popen(self.command("watch"), stdout=subprocess.PIPE, text=True,
                              env=environment()) as watch:
            try:
                return [json.loads(watch.stdout.readline()) for _ in range(5)]
            finally:
                watch.terminate()


def environment():
    return {**os.environ, "QUINCEFALL_OPERATOR_KEY": OPERATOR_KEY}


def kill_the_serving_engine(fleet, killed):
    for name, engine in fleet.standins.items():
        if engine.role == "engine" and engine.process.is_running():
            if "daycare.r1" in engine.runs():
                engine.process.kill()
                killed.append(name)
                return


def ask_and_kill(fleet):
    """Streams the README's request and kills the engine that runs it after the fifth token."""
    killed = []

    def on_token(number):
        if number == 5:
            kill_the_serving_engine(fleet, killed)

    headers = {"Authorization": "Bearer key", "X-Request-Id": "r1"}
    stream = client.stream_chat(fleet.hosts["h1"].caller, "hello", TOKENS, headers=headers,
                                on_token=on_token)
    assert client.is_whole(stream, "hello", TOKENS), (stream.status, stream.body, stream.error)
    assert len(killed) == 1, killed
    return killed[0]


def main():
    with Fleet() as fleet:
        for name in ("engine-1", "engine-2"):
            fleet.start_engine(name).set_faults(token_delay_ms=10)
        fleet.start_hosts(2)
        reader = ReadmeRunner(fleet, README.read_text(encoding="utf-8"))
        wait_for(lambda: client.send(fleet.hosts["h1"].operator, "GET", "/readyz").status == 200,
                 LIMIT_S, "h1 ready")
        assert "created" in reader.run("apply -f fleet.yaml --dry-run")
        assert "in force on every live host" in reader.run("apply -f fleet.yaml --wait")
        assert any(line["type"] == "in_force" for line in reader.first_watch_lines())
        assert "engine-2" in reader.run("status")
        killed = ask_and_kill(fleet)
        timeline = reader.run("timeline")
        failed = re.search(r"attempt\.failed .*", timeline).group(0)
        assert f"on={killed}" in failed, timeline
        granted = re.findall(r"request\.granted .*?upstream=(\S+)", timeline)
        assert granted[0] == killed and granted[-1] != killed, timeline
        assert "request.done" in timeline and "outcome=complete" in timeline, timeline


main()
