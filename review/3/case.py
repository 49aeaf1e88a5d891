"""A server comes back cold, under its identifier, while the store is down."""

import asyncio
import os
import pathlib
import signal
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
SERVERS = {"dar-kariakoo": 2, "arusha-njiro": 2, "mwanza-ilemela": 1}
SERVICE = "hyssop-llm"
HOST_NAME = "desk.example"

EVENTS = 58
EVENT_SECONDS = 0.03
PREFILL_SECONDS = 0.05
CALM_REQUESTS_PER_SECOND = 1
REQUESTS_PER_SECOND = 30
"""Callers of one zone, before and after the start of their traffic."""

DEADLINE_MS = 5000

WARM_UP_SECONDS = 9.0
"""Over the start of the hosts and `stable_window_ms`."""

OUTAGE_SECONDS = 8.0
"""`platform_down` (reset) lasts 8.0 s on a standard day of the site."""

CRASH_AT = 0.3
SERVER_DOWN_SECONDS = 0.3
"""Seconds into the outage at which the server crashes, and for how long.
`srv_crash` lasts up to 4.6 s there, with a share of 0.25 at most."""

COLD_SECONDS = 3.0
COLD_PER_SECOND = 2.2
COLD_OVER = 1.5
COLD_SLACK = 3
"""`cold_s` and `cold_per_s` of the site, `cold_over` and `cold_slack`."""

CRASH_PER_SECOND = 4 * COLD_PER_SECOND
"""Requests in a second at which the stand-in crashes while it is cold: well
above what it tolerates, and above what the rule allows."""

MAX_PER_SECOND = COLD_PER_SECOND * COLD_OVER + COLD_SLACK

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-review",
            "host": HOST_NAME,
            "prefix": "/review/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap_aim_ms": 300,
            "home_regions": [],
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 360,
            "cold_s": COLD_SECONDS,
            "cold_per_s": COLD_PER_SECOND,
            "engine": {"slots": 64, "kv_capacity_tokens": 289720},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    },
}


class Arrivals:
    """Requests that a cold server got: when sent, and when arrived."""

    def __init__(self, record):
        self.record = record
        self.sent = {}
        self.cold = []

    def note(self, server, request):
        """Note a request at a server, if that is cold."""
        cold = server.cold_left_ms > 0 and server.cold_seconds > 0
        self.record(event="run", request=request, server=server.id, cold=cold)
        if cold:
            now = self.record.now
            self.cold.append((now, self.sent[request], server.id))
            recent = [at for at, _, _ in self.cold if now - at < 1.0]
            if len(recent) > CRASH_PER_SECOND:
                server.crash()

    def most(self):
        """Return the most requests sent and arrived within one second."""
        best = 0
        for end, _, server_id in self.cold:
            inside = [
                1
                for arrived, sent, one in self.cold
                if one == server_id and end - 1.0 < sent and arrived <= end
            ]
            best = max(best, len(inside))
        return best


def answer_with(arrivals):
    """Return the coroutine function that runs one request."""

    async def answer(server, head, body, writer):
        arrivals.note(server, head.get("x-request-attempt-id"))
        await asyncio.sleep(PREFILL_SECONDS)
        server.begin_stream(writer, server.headers(head, 1))
        for number in range(1, EVENTS + 1):
            await server.send_event(writer, number, {"n": number})
            await asyncio.sleep(EVENT_SECONDS)
        server.end_stream(writer)

    return answer


async def run_request(clients, arrivals, record, results):
    """Send one request and record its answer."""
    request = clients.new_id()
    headers = [
        ("X-Request-Attempt-Id", request),
        ("X-Model", "m"),
        ("X-Token-Usage", f"2890,{EVENTS}"),
        ("X-Prompt-Prefix", f"{request}:2890"),
        ("X-Deadline-Ms", DEADLINE_MS),
    ]
    sent_at = arrivals.sent[request] = record.now
    found = await clients.send("POST", "/review/file", headers, b"file " * 40)
    record(
        event="answer",
        request=request,
        sent_at=round(sent_at, 3),
        status=found.status,
        whole=found.whole,
        why=found.why,
    )
    results.append(found)


async def send_requests(clients, arrivals, record, results, busy, until):
    """Send requests until the time *until*, more of them from *busy* on."""
    tasks = []
    while record.now < until:
        work = run_request(clients, arrivals, record, results)
        tasks.append(asyncio.ensure_future(work))
        calm = record.now < busy
        rate = CALM_REQUESTS_PER_SECOND if calm else REQUESTS_PER_SECOND
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)


async def make_trouble(store, server, record, begin):
    """Take the store down; a server crashes and starts again meanwhile."""
    await asyncio.sleep(begin - record.now)
    record(event="store down")
    store.go_down()
    down_at = record.now
    await asyncio.sleep(CRASH_AT)
    server.crash()
    await asyncio.sleep(SERVER_DOWN_SECONDS)
    server.cold_seconds = COLD_SECONDS
    await server.start()
    await asyncio.sleep(down_at + OUTAGE_SECONDS - record.now)
    store.go_up()
    record(event="store up")


async def play(record, fleet, store):
    """Play the case; return its exit status."""
    arrivals = Arrivals(record)
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
                64,
            )
            server.answer = answer_with(arrivals)
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
    begin = record.now + WARM_UP_SECONDS
    work = [
        send_requests(
            clients,
            arrivals,
            record,
            results,
            begin + CRASH_AT + SERVER_DOWN_SECONDS,
            begin + OUTAGE_SECONDS + 1.0,
        )
    ]
    if TROUBLE:
        work.append(make_trouble(store, servers[0], record, begin))
    await asyncio.gather(*work)
    return judge(record, arrivals, results)


def judge(record, arrivals, results):
    """Judge what the servers have seen."""
    most = arrivals.most()
    cut = sum(found.status == 200 and not found.whole for found in results)
    ends = Counter(
        "whole" if found.whole else f"{found.status} {found.why}"
        for found in results
    )
    record.say(f"requests sent: {len(results)}; ends: {dict(ends)}")
    record.say(
        f"requests at the cold server: {len(arrivals.cold)}, most within a "
        f"second: {most} (allowed: {MAX_PER_SECOND:.1f}); answers cut: {cut}"
    )
    if sum(found.whole for found in results) < len(results) / 2:
        record.say("could not run: most requests were not served")
        return 2
    return 1 if most > MAX_PER_SECOND else 0


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
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(folder).iterdir():
                    (pathlib.Path(keep) / path.name).write_bytes(
                        path.read_bytes()
                    )
            record.close()


if __name__ == "__main__":
    # A time-out from outside must end the hosts as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
