"""A `Server-Limit` with more than nine decimals is ignored."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.rig.fleet import Fleet  # noqa: E402
from review.rig.http import Connection  # noqa: E402
from review.rig.record import run_case  # noqa: E402
from review.rig.server import Server  # noqa: E402
from review.rig.store import Store  # noqa: E402

NET = "127.0.61."
LIMIT = os.environ.get("LIMIT", repr(10 / 3))
STABLE_S = 6.0
WINDOW_S = 4.0
SEEN_S = 0.5
TRAFFIC_S = 22.0
NAMED_AFTER_S = 3.0
INTERVAL_S = 0.05

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "docs",
            "host": "a.example",
            "prefix": "/docs/",
            "kind": "idempotent",
            "timeout_ms": 5000,
            "target_latency_ms": 500,
            "priority": 0,
            "service": "desk",
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 100,
            "cold_s": 0.0,
            "cold_per_s": 0.0,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


async def ask(host, identifier, record):
    """Send one request of a client to a host."""
    sent_at = time.monotonic()
    try:
        connection = await Connection.open(host.front)
        connection.send(
            "GET",
            "/docs/1",
            {
                "Host": "a.example",
                "X-Request-Attempt-Id": identifier,
                "X-Deadline-Ms": "5000",
            },
        )
        answer = await asyncio.wait_for(connection.receive(), 5)
        connection.close()
        status = "no answer" if answer is None else answer.status
    except (OSError, TimeoutError) as problem:
        status = repr(problem)
    record.note(f"{identifier} sent to {host.name}: {status}", sent_at)


def counted(server, named_at, passed_on):
    """Return the times of the arrivals that the rule counts."""
    return [
        one.at
        for one in server.arrivals
        if one.at >= named_at + STABLE_S
        and passed_on.get(one.peer, one.at) <= one.at - SEEN_S
    ]


def most_in_window(times):
    """Return the most arrivals within any window, and its start."""
    best, best_at = 0, 0.0
    for index, start in enumerate(times):
        count = sum(one < start + WINDOW_S for one in times[index:])
        if count > best:
            best, best_at = count, start
    return best, best_at


async def case(record, trouble):
    """Let one of two servers name a limit, and count what it gets."""
    store = Store(NET + "9")
    await store.start()
    store.put_json("op/config", CONFIGURATION)
    limited = Server(store, "i-limited", "desk", "north-a", NET + "21")
    other = Server(store, "i-other", "desk", "north-a", NET + "22")
    for server in (limited, other):
        await server.start()
    fleet = Fleet(
        store,
        [("north-a", "north")],
        [(f"front-{n}", "north-a", f"{NET}{n}") for n in (1, 2, 3)],
    )
    named_at, passed_on = [], {}

    async def work(arrival, call):
        arrival.outcome = "ran"
        await asyncio.sleep(0.03)
        if limited.extra:
            now = time.monotonic()
            named_at[:] = named_at or [now]
            passed_on.setdefault(arrival.peer, now)
        body = f"{limited.name} {arrival.id}".encode()
        await call.respond(200, limited.headers(arrival.id), body)

    limited.work = work
    try:
        await fleet.start(record)
        record.note("all hosts are ready")
        await asyncio.sleep(1)
        asking, number = [], 0
        began = time.monotonic()
        while time.monotonic() < began + TRAFFIC_S:
            passed = time.monotonic() - began
            if trouble and passed > NAMED_AFTER_S and not limited.extra:
                limited.extra = {"Server-Limit": LIMIT}
                record.note(f"i-limited names Server-Limit: {LIMIT}")
            number += 1
            asking.append(
                asyncio.ensure_future(
                    ask(fleet.hosts[number % 3], f"r-{number:04d}", record)
                )
            )
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*asking)
        for one in limited.arrivals:
            record.note(f"{one.id} runs at i-limited from {one.peer}", one.at)
        record.note(
            f"i-limited ran {len(limited.arrivals)} requests, "
            f"i-other {len(other.arrivals)}"
        )
        for host in fleet.hosts:
            lines = [
                line
                for line in fleet.log(host).splitlines()
                if '"event":"notice_ignored"' in line
            ]
            record.note(f"{host.name} logged: {lines[:1]}")
        if not named_at:
            return ""
        allowed = 1.5 * float(LIMIT) * WINDOW_S + 5
        most, at = most_in_window(counted(limited, named_at[0], passed_on))
        record.note(
            f"most in {WINDOW_S:.0f} s: {most}, allowed {allowed:.1f}",
            at or None,
        )
        if most > allowed:
            return f"LIMIT: {most} requests in 4 s, allowed {allowed:.1f}"
        return ""
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
