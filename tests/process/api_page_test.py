"""Sends the example requests of docs/API.md and compares the responses with the page."""

import json
import pathlib
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import CALLER_KEY, OPERATOR_KEY, Fleet

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "API.md"


def blocks():
    """The page's HTTP examples as pairs of request and response."""
    found = re.findall(r"^```http\n(.*?)^```$", PAGE.read_text(encoding="utf-8"), re.S | re.M)
    assert len(found) % 2 == 0, "a request of the page has no answer"
    return list(zip(found[::2], found[1::2]))


def parse(block):
    head, _, body = block.partition("\n\n")
    first, *rest = head.strip().splitlines()
    headers = dict(line.split(": ", 1) for line in rest)
    return first.split(), headers, json.loads(body) if body.strip() else None


def check_contains(expected, actual, where):
    """Checks that each member shown on the page is in the response with the same value."""
    if isinstance(expected, dict):
        for name, value in expected.items():
            assert name in actual, f"{where}: {name} is missing in {actual}"
            check_contains(value, actual[name], f"{where}.{name}")
    elif isinstance(expected, list):
        assert len(expected) == len(actual), f"{where}: {actual}"
        for index, value in enumerate(expected):
            check_contains(value, actual[index], f"{where}[{index}]")
    else:
        assert expected == actual, f"{where}: {actual!r}, the page says {expected!r}"


def check(fleet, request, answer):
    (method, path, _), headers, body = parse(request)
    (_, status, *_), _, expected = parse(answer)
    host = fleet.hosts["h1"]
    address = {"caller": host.caller, "operator": host.operator}[headers.pop("Host")]
    key = headers["Authorization"].replace("CALLER_KEY", CALLER_KEY)
    headers["Authorization"] = key.replace("OPERATOR_KEY", OPERATOR_KEY)
    actual = client.send(address, method, path, body, headers)
    assert actual.status == int(status), f"{method} {path}: {actual.status} {actual.body}"
    check_contains(expected, actual.json(), f"{method} {path}")


def main():
    with Fleet() as fleet:
        fleet.start_engine("engine-1")
        fleet.start_service("desk-1")
        fleet.start_hosts(2)
        fleet.publish_defaults()
        fleet.wait_ready()
        pairs = blocks()
        assert len(pairs) >= 9, f"only {len(pairs)} examples were found on the page"
        for request, answer in pairs:
            check(fleet, request, answer)


main()
