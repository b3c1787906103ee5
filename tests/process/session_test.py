"""End-to-end session over separate processes: chat, booking, rejected requests, graceful stop."""

import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support import client
from support.fleet import Fleet
from support.golden import check_golden


def problem_line(label, answer):
    body = json.loads(answer.body)
    return f"{label}: {answer.status} code={body['code']} run={body['run']}"


def main():
    lines = []
    with Fleet() as fleet:
        fleet.start_engine("engine-1")
        fleet.start_engine("engine-2")
        fleet.start_service("desk-1")
        fleet.start_hosts(3)
        early = fleet.chat("h1", "too early", 1)
        lines.append(f"before any configuration: {early.status}")
        fleet.publish_defaults()
        fleet.wait_ready()
        for host in ("h1", "h2", "h3"):
            stream = fleet.stream(host, "week 50", 5, request_id=f"chat-{host}")
            complete = client.is_whole(stream, "week 50", 5)
            lines.append(f"stream through {host}: complete={complete} {stream.text()}")
        answer = fleet.chat("h2", "who covers naps", 3).json()
        lines.append("complete answer: " + answer["choices"][0]["message"]["content"])
        booking = fleet.book("h3", "key-1", {"day": "Friday"})
        lines.append(f"booking: {booking.status} run={booking.json()['run']}")
        unkeyed = client.send(fleet.hosts["h1"].caller, "POST", "/services/shift-desk/bookings",
                              {}, fleet.headers())
        lines.append(problem_line("booking without a key", unkeyed))
        stranger = client.send(fleet.hosts["h1"].caller, "GET", "/v1/models", None,
                               {"Authorization": "Bearer unknown"})
        lines.append(problem_line("unknown key", stranger))
        unknown = client.send(fleet.hosts["h1"].caller, "POST", "/v1/chat/completions",
                              client.chat_body("x", 1, model="other"), fleet.headers())
        lines.append(problem_line("undeclared model", unknown))
        lines.append(f"exit codes: {sorted(fleet.stop().values())}")
    check_golden("session.txt", lines)


main()
