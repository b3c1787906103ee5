"""`quincefall check --desired`: findings, differences and exit codes."""

import json
import os
import pathlib
import subprocess
import tempfile

ROUTE = {"name": "r", "authority": "plans.example", "path_prefix": "/read/", "route_type": "idempotent",
         "timeout_ms": 5000, "target_latency_ms": 500, "service": "drafts"}
SOUND = {"version": 7, "routes": [ROUTE], "services": [{"name": "drafts", "health_path": "/health"}],
         "tenants": [{"name": "county", "api_keys": ["k1"]}]}


def check(folder, desired, *words):
    path = pathlib.Path(folder) / "next.json"
    path.write_text(json.dumps(desired))
    done = subprocess.run([os.environ["QUINCEFALL_BIN"], "check", "--desired", str(path), *words],
                          capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout + done.stderr


def main():
    with tempfile.TemporaryDirectory() as folder:
        code, text = check(folder, SOUND)
        assert code == 0 and "no findings" in text, text

        hidden = dict(SOUND, routes=[ROUTE, dict(ROUTE, name="again")])
        code, text = check(folder, hidden)
        assert code == 1 and 'route "again": can never match' in text, text

        twice = dict(SOUND, tenants=[{"name": "county", "api_keys": ["k1"]},
                                     {"name": "parish", "api_keys": ["k1"]}])
        code, text = check(folder, twice)
        assert code == 1 and 'an API key of organisation "county": is declared twice' in text, text

        current = pathlib.Path(folder) / "current.json"
        current.write_text(json.dumps(SOUND))
        later = dict(SOUND, version=8, routes=[dict(ROUTE, timeout_ms=4000)])
        code, text = check(folder, later, "--in_force", str(current), "--json")
        assert code == 0, text
        report = json.loads(text)
        assert report["version_in_force"] == 7, report
        assert report["differences"] == ['route "r": timeout from 5000 ms to 4000 ms'], report

        code, text = check(folder, SOUND, "--in_force", str(current))
        assert code == 1 and "not above version 7" in text, text

        code, text = check(folder, SOUND, "--host", "127.0.0.1:9")
        assert code == 4, (code, text)


main()
