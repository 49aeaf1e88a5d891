"""A server leaves while connections to the store have gone silent."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import Clients  # noqa: E402
from standins.fleet import Fleet  # noqa: E402
from standins.proxy import SilencingProxy  # noqa: E402
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
SERVERS = {"dar-kariakoo": 2, "arusha-njiro": 1}
SERVICE = "uw-desk"
HOST_NAME = "desk.example"

WORK_SECONDS = 0.045
REQUESTS_PER_SECOND = 20
DEADLINE_MS = 5000

WARM_UP_SECONDS = 8.0
"""Over the start of the hosts and `stable_window_ms`."""

STALE_SECONDS = 5.5
"""Age of what reads with `allow_stale` return: they may be seconds old. The
site file names up to 5.5 s."""

IDLE_SECONDS = 3.0
MAX_WATCH_AGE_SECONDS = 4.5
"""Connections that have waited for an answer for this long go silent, at a
moment at which the watches of the region have waited no longer than the second
figure."""

MAX_WAIT_SECONDS = 60.0
"""Longest wait for such a moment."""

LEAVES_AT = 2.2
"""Seconds after the silence at which the server reports `draining`."""

STABLE_WINDOW_SECONDS = 6.0
DRAIN_SECONDS = 4.0
SERVES_ON_SECONDS = 5.0
WATCHED_SECONDS = 9.0
"""Seconds for which the server serves after its report, `drain_ms` and a
little longer, and for which requests are sent and judged after it."""

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
        rows: Time, server, request and host of each run.
    """

    def __init__(self):
        self.rows = []


def answer_with(runs):
    """Return the coroutine function that runs one request."""

    async def answer(server, head, body, writer):
        request = head.get("x-request-attempt-id")
        server.record(event="run", request=request, server=server.id)
        runs.rows.append((time.monotonic(), server.id, request))
        await asyncio.sleep(WORK_SECONDS)
        server.send(writer, 200, server.headers(head, 1), b"rate " * 160)

    return answer


async def ask(clients, record, results, number):
    """Send one request and record its answer."""
    request = clients.new_id()
    headers = [
        ("X-Request-Attempt-Id", request),
        ("X-Deadline-Ms", DEADLINE_MS),
    ]
    sent_at = time.monotonic()
    found = await clients.send(
        "POST", f"/rate/class-{number}", headers, b"vehicle class 7"
    )
    record(
        event="answer",
        request=request,
        status=found.status,
        whole=found.whole,
        why=found.why,
    )
    results.append((request, sent_at, found))


async def send_requests(clients, record, results, ended):
    """Send requests at a steady rate until the event *ended*."""
    tasks = []
    while not ended.is_set():
        work = ask(clients, record, results, len(tasks))
        tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*tasks)


def is_watch(pair):
    """Return whether a connection carries a watch of the servers."""
    return b"/v1/kv-watch?prefix=servers" in pair.asked


async def make_trouble(proxy, servers, runs, record, region_ips, times):
    """Let watches go silent; a server leaves soon after.

    Returns:
        Whether there was a moment for it.
    """
    until = time.monotonic() + MAX_WAIT_SECONDS
    while True:
        now = time.monotonic()
        if now > until:
            return False
        ages = [
            now - pair.passed_at
            for pair in proxy.pairs
            if is_watch(pair) and pair.peer in region_ips
        ]
        if len(ages) == 2 and (
            min(ages) >= IDLE_SECONDS and max(ages) <= MAX_WATCH_AGE_SECONDS
        ):
            break
        await asyncio.sleep(0.1)
    times["silent"] = time.monotonic()
    count = proxy.silence(
        lambda pair: pair.waiting and now - pair.passed_at >= IDLE_SECONDS
    )
    record(event="connections go silent", count=count)
    await asyncio.sleep(LEAVES_AT)
    await leave(busiest(servers, runs), record, times)
    return True


def busiest(servers, runs):
    """Return the server with the most of the latest runs."""
    latest = Counter(server_id for _, server_id, _ in runs.rows[-40:])
    return max(servers, key=lambda server: latest[server.id])


async def leave(server, record, times):
    """Let the server report that it leaves, serve on, and end."""
    times["server"] = server.id
    server.state = "draining"
    lease = server.store.items[f"servers/{server.id}"]["lease"]
    await server.write_entry(lease)
    times["leaving"] = time.monotonic()
    record(event="draining accepted", server=server.id)
    await asyncio.sleep(SERVES_ON_SECONDS)
    server.crash()
    await server.store.remove(f"servers/{server.id}")
    await asyncio.sleep(WATCHED_SECONDS - SERVES_ON_SECONDS)


async def play(record, fleet, store, proxy):
    """Play the case; return its exit status."""
    runs = Runs()
    servers = []
    for zone, count in SERVERS.items():
        for _ in range(count):
            server = Server(
                store,
                record,
                "127.0.0.1",
                f"i-{len(servers) + 1:08x}",
                SERVICE,
                zone,
                "v1",
                6,
            )
            server.answer = answer_with(runs)
            await server.start()
            servers.append(server)
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
    times = {}
    ended = asyncio.Event()
    sending = asyncio.ensure_future(
        send_requests(clients, record, results, ended)
    )
    await asyncio.sleep(WARM_UP_SECONDS)
    ips = {host.ip for host in fleet.hosts if host.region == "dar"}
    ready = True
    if TROUBLE:
        ready = await make_trouble(proxy, servers, runs, record, ips, times)
    else:
        times["silent"] = time.monotonic() - LEAVES_AT
        await leave(busiest(servers, runs), record, times)
    ended.set()
    await sending
    if not ready:
        record.say("could not run: the watches never had the wanted age")
        return 2
    return judge(record, runs, results, times)


def judge(record, runs, results, times):
    """Judge what clients and servers have seen."""
    sent = {request: sent_at for request, sent_at, _ in results}
    bound = times["leaving"] + DRAIN_SECONDS
    in_touch = times["silent"] + STABLE_WINDOW_SECONDS
    late = [
        at - times["leaving"]
        for at, server_id, request in runs.rows
        if server_id == times["server"]
        and at > bound
        and sent[request] > max(bound, in_touch)
    ]
    ends = Counter(
        f"{found.status}" if found.whole else f"{found.status} {found.why}"
        for _, _, found in results
    )
    record.say(f"requests sent: {len(results)}; answers: {dict(ends)}")
    record.say(
        f"requests at the leaving server later than {DRAIN_SECONDS:g} s after "
        f"its report was accepted: {len(late)} (allowed: 0), the last "
        f"{max(late, default=0):.2f} s after it"
    )
    if sum(found.whole for _, _, found in results) < len(results) / 2:
        record.say("could not run: most requests were not served")
        return 2
    return 1 if late else 0


async def main():
    """Run the case; return its exit status."""
    record = Recorder(FOLDER / "record.txt")
    store = Store()
    store.stale_seconds = STALE_SECONDS
    await store.start("127.0.0.1")
    await store.put_json("op/config", CONFIGURATION)
    proxy = SilencingProxy(store.address)
    await proxy.start("127.0.0.1")
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, proxy.address, ZONES, HOSTS, record)
        try:
            return await play(record, fleet, store, proxy)
        finally:
            fleet.end()
            keep = os.environ.get("KEEP_LOGS")
            for path in pathlib.Path(folder).iterdir() if keep else ():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
            record.close()


if __name__ == "__main__":
    # A time-out from outside must end the hosts as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
