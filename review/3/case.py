"""Servers fail requests that they have run, with status 503."""

import asyncio
import os
import pathlib
import random
import sys
import tempfile
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import Clients  # noqa: E402
from standins.fleet import Fleet  # noqa: E402
from standins.recorder import Recorder  # noqa: E402
from standins.server import Server  # noqa: E402
from standins.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = {
    "dar-kariakoo": "dar",
    "arusha-njiro": "arusha",
    "mwanza-ilemela": "mwanza",
}
HOSTS = {"dar-kariakoo": 3, "arusha-njiro": 2, "mwanza-ilemela": 2}
SERVERS = {"dar-kariakoo": 1, "arusha-njiro": 1, "mwanza-ilemela": 1}
SERVICE = "uw-desk"
HOST_NAME = "desk.example"

WORK_SECONDS = 0.045
REQUESTS_PER_SECOND = 6.67
DEADLINE_MS = 5000
CLIENT_RETRIES = 1
"""As on the sheet, for `rate-lookup`."""

WARM_UP_SECONDS = 8.0
"""Over the start of the hosts and `stable_window_ms`."""

GREY_SECONDS = 4.0
GREY_SHARE = 0.45
"""`srv_grey` (errors all) on a standard day of the site: all servers, 0.45 of
their requests, for 4.0 s."""

AFTER_SECONDS = 2.0

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-rate",
            "host": HOST_NAME,
            "prefix": "/rate/",
            "kind": "non_idempotent",
            "timeout_ms": 5000,
            "target_latency_ms": 550,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 1,
            "home_regions": [],
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 100,
            "cold_s": 0.0,
            "cold_per_s": 0.0,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    },
}


class Runs:
    """What the servers have run.

    Attributes:
        grey: Whether the servers fail a part of their requests.
        by_request: Number of runs by client attempt.
        by_subject: Number of runs by what the client asked for.
    """

    def __init__(self):
        self.grey = False
        self.by_request = Counter()
        self.by_subject = Counter()


def answer_with(runs):
    """Return the coroutine function that runs one request."""

    async def answer(server, head, body, writer):
        request = head.get("x-request-attempt-id")
        subject = head.start[1].rpartition("/")[2]
        runs.by_request[request] += 1
        runs.by_subject[subject] += 1
        fails = runs.grey and random.random() < GREY_SHARE
        await asyncio.sleep(WORK_SECONDS)
        status = 503 if fails else 200
        server.record(
            event="run",
            request=request,
            subject=subject,
            server=server.id,
            status=status,
        )
        text = b"failed after the update" if fails else b"rate " * 160
        server.send(writer, status, server.headers(head, 1), text)

    return answer


async def ask(clients, runs, record, results, subject):
    """Send one request, and once more if it is said not to have run."""
    for _ in range(1 + CLIENT_RETRIES):
        request = clients.new_id()
        headers = [
            ("X-Request-Attempt-Id", request),
            ("X-Deadline-Ms", DEADLINE_MS),
        ]
        found = await clients.send(
            "POST", f"/rate/{subject}", headers, b"vehicle class 7"
        )
        record(
            event="answer",
            request=request,
            subject=subject,
            status=found.status,
            stamp=found.headers.get("x-response-stamp", ""),
            whole=found.whole,
            why=found.why,
        )
        results.append((request, found))
        if found.status not in (429, 503):
            return
        await asyncio.sleep(float(found.headers.get("retry-after", "0")))


async def send_requests(clients, runs, record, results, until):
    """Send requests at a steady rate until the time *until*."""
    tasks = []
    number = 0
    while record.now < until:
        number += 1
        work = ask(clients, runs, record, results, f"class-{number}")
        tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*tasks)


async def make_trouble(runs, record, begin):
    """Let the servers fail a part of their requests for a while."""
    await asyncio.sleep(begin - record.now)
    record(event="servers fail a part of their requests")
    runs.grey = True
    await asyncio.sleep(GREY_SECONDS)
    runs.grey = False
    record(event="servers are well again")


async def play(record, fleet, store):
    """Play the case; return its exit status."""
    runs = Runs()
    for number, zone in enumerate(SERVERS):
        server = Server(
            store,
            record,
            "127.0.0.1",
            f"i-{number + 1:08x}",
            SERVICE,
            zone,
            "v1",
            6,
        )
        server.answer = answer_with(runs)
        await server.start()
    fleet.start()
    if not await asyncio.to_thread(fleet.wait_ready):
        record.say("could not run: a host does not listen")
        return 2
    await asyncio.sleep(2.0)
    clients = Clients(
        [host.directory for host in fleet.hosts],
        HOST_NAME,
        "dar",
        "dar-kariakoo",
        record,
    )
    results = []
    begin = record.now + WARM_UP_SECONDS
    until = begin + GREY_SECONDS + AFTER_SECONDS
    work = [send_requests(clients, runs, record, results, until)]
    if TROUBLE:
        work.append(make_trouble(runs, record, begin))
    await asyncio.gather(*work)
    return judge(record, runs, results)


def judge(record, runs, results):
    """Judge what clients and servers have seen."""
    refused_and_run = [
        request
        for request, found in results
        if found.status in (408, 421, 429, 503) and runs.by_request[request]
    ]
    doubled = sum(count > 1 for count in runs.by_subject.values())
    ends = Counter(
        f"{found.status}" if found.whole else f"{found.status} {found.why}"
        for _, found in results
    )
    record.say(f"requests sent: {len(results)}; answers: {dict(ends)}")
    record.say(
        f"answered 503 though they have run: {len(refused_and_run)} "
        f"(allowed: 0); subjects that ran twice, as the client asked again: "
        f"{doubled}"
    )
    if sum(found.status == 200 for _, found in results) < len(results) / 2:
        record.say("could not run: most requests were not served")
        return 2
    return 1 if refused_and_run else 0


async def main():
    """Run the case; return its exit status."""
    record = Recorder(FOLDER / "record.txt")
    store = Store()
    await store.start("127.0.0.1")
    await store.put_json("op/config", CONFIGURATION)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, store.address, ZONES, HOSTS, record)
        try:
            return await play(record, fleet, store)
        finally:
            fleet.end()
            record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
